package org.peridotroute.standin.world;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.WorkerGateway;

/** Network path from a VM to the workers, with latency, lost and late calls. */
final class SimulatedWorkerGateway implements WorkerGateway {
  private final Map<WorkerId, Long> pollsByWorker = new HashMap<>();
  private static final int MIN_LATE_MILLIS = 2_000;
  private static final int LATE_RANGE_MILLIS = 10_000;

  /** Interval at which a worker checks whether a held poll has something to report. */
  private static final long POLL_MILLIS = 10;

  private static final int START_OVERHEAD_BYTES = 600;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final CallReply UNKNOWN = new CallReply(CallOutcome.UNKNOWN, -1);
  private static final CallReply OTHER_LIFE = new CallReply(CallOutcome.OTHER_LIFE, -1);

  private static final CallReply REFUSED = new CallReply(CallOutcome.NOT_SENT, -1);

  private final VirtualTime time;
  private final Random random;
  private final SimulationOracle oracle;
  private final Map<WorkerId, WorkerHost> workers;
  private final long callTimeoutMillis;
  private double lateCallShare;
  private long linkBytesPerSecond = Long.MAX_VALUE;
  private double linkFreeAtMillis;

  /**
   * Creates a path to the workers.
   *
   * @param workers the workers by id, which the caller may extend
   * @param callTimeoutMillis timeout of a call
   */
  SimulatedWorkerGateway(
      VirtualTime time,
      Random random,
      SimulationOracle oracle,
      Map<WorkerId, WorkerHost> workers,
      long callTimeoutMillis) {
    this.time = time;
    this.random = random;
    this.oracle = oracle;
    this.workers = workers;
    this.callTimeoutMillis = callTimeoutMillis;
  }

  /** Sets the share of calls that time out for the VM and are executed late. */
  void setLateCallShare(double share) {
    lateCallShare = share;
  }

  /** Sets the capacity of the link that starts share; unlimited at first. */
  void setLinkBytesPerSecond(long value) {
    linkBytesPerSecond = value;
  }

  /** Returns the number of polls that were sent to a worker. */
  long polls(WorkerId worker) {
    return pollsByWorker.getOrDefault(worker, 0L);
  }

  /** Returns how long a start waits for the link and occupies it. */
  private long transferMillis(StartRequest request) {
    double bytes = START_OVERHEAD_BYTES + request.payload().length();
    linkFreeAtMillis =
        Math.max(linkFreeAtMillis, (double) time.steadyMillis())
            + bytes * MILLIS_PER_SECOND / (double) linkBytesPerSecond;
    return (long) (linkFreeAtMillis - (double) time.steadyMillis());
  }

  /** Returns the path from one VM. */
  WorkerGateway from(String vm) {
    return new PathFrom(vm);
  }

  /** The path from one VM, which may not reach all workers. */
  private final class PathFrom implements WorkerGateway {
    private final String vm;

    PathFrom(String vm) {
      this.vm = vm;
    }

    private <T> CompletableFuture<T> call(
        Target target, long timeoutMillis, T unknown, Supplier<CompletableFuture<T>> request) {
      if (host(target) == null) {
        oracle.onForeignCall(target.id());
        return CompletableFuture.completedFuture(unknown);
      }
      if (host(target).isReachableFrom(vm)) {
        return request.get();
      }
      CompletableFuture<T> answer = new CompletableFuture<>();
      time.after(timeoutMillis, () -> answer.complete(unknown));
      return answer;
    }

    @Override
    public CompletableFuture<CallReply> start(Target target, StartRequest request) {
      return call(
          target,
          callTimeoutMillis,
          UNKNOWN,
          () -> SimulatedWorkerGateway.this.start(target, request));
    }

    @Override
    public CompletableFuture<CallReply> stop(Target target, TaskId task, int run, long token) {
      return call(
          target,
          callTimeoutMillis,
          UNKNOWN,
          () -> SimulatedWorkerGateway.this.stop(target, task, run, token));
    }

    @Override
    public CompletableFuture<PollReply> poll(Target target, PollRequest request) {
      pollsByWorker.merge(new WorkerId(target.id()), 1L, Long::sum);
      return call(
          target,
          request.waitMillis() + callTimeoutMillis,
          PollReply.failed(CallOutcome.UNKNOWN, -1),
          () -> SimulatedWorkerGateway.this.poll(target, request));
    }
  }

  private WorkerHost host(Target target) {
    return workers.get(new WorkerId(target.id()));
  }

  private <T> CompletableFuture<T> call(
      Target target,
      long transferMillis,
      Function<WorkerModel, T> request,
      T unknown,
      T otherLife,
      T refused) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    if (transferMillis > 0) {
      time.after(callTimeoutMillis, () -> answer.complete(unknown));
    }
    WorkerHost host = host(target);
    boolean late = random.nextDouble() < lateCallShare;
    WorkerModel addressee = host.incarnation;
    time.after(
        transferMillis + 1 + random.nextInt(12),
        () -> {
          if (host.refusesConnections()) {
            answer.complete(refused);
          } else if (host.replaced && !host.disconnected) {
            time.after(1 + random.nextInt(12), () -> answer.complete(otherLife));
          } else if (host.disconnected || host.incarnation.isTerminated()) {
            time.after(callTimeoutMillis, () -> answer.complete(unknown));
          } else if (late) {
            time.after(callTimeoutMillis, () -> answer.complete(unknown));
            time.after(
                MIN_LATE_MILLIS + random.nextInt(LATE_RANGE_MILLIS),
                () -> {
                  // A call names the incarnation that it is for; later ones reject it.
                  addressee.advance();
                  if (!addressee.isTerminated()) {
                    oracle.setLateCall(true);
                    var unused = request.apply(addressee);
                    oracle.setLateCall(false);
                  }
                });
          } else {
            host.incarnation.advance();
            if (host.incarnation.isTerminated()) {
              time.after(callTimeoutMillis, () -> answer.complete(unknown));
              return;
            }
            T reply = request.apply(host.incarnation);
            time.after(1 + random.nextInt(12), () -> answer.complete(reply));
          }
        });
    return answer;
  }

  @Override
  public CompletableFuture<CallReply> start(Target target, StartRequest request) {
    return call(
        target,
        transferMillis(request),
        worker -> worker.start(request),
        UNKNOWN,
        OTHER_LIFE,
        REFUSED);
  }

  @Override
  public CompletableFuture<CallReply> stop(Target target, TaskId task, int run, long token) {
    return call(target, 0, worker -> worker.stop(task, run, token), UNKNOWN, OTHER_LIFE, REFUSED);
  }

  @Override
  public CompletableFuture<PollReply> poll(Target target, PollRequest request) {
    PollReply unknown = PollReply.failed(CallOutcome.UNKNOWN, -1);
    CompletableFuture<PollReply> answer = new CompletableFuture<>();
    WorkerHost host = host(target);
    time.after(
        1 + random.nextInt(12),
        () -> {
          if (!host.disconnected && !host.incarnation.isTerminated()) {
            host.incarnation.acknowledge(request);
          }
          pollUntilAnswer(
              host,
              host.incarnation,
              request,
              time.steadyMillis() + request.waitMillis(),
              answer,
              unknown);
        });
    return answer;
  }

  private void pollUntilAnswer(
      WorkerHost host,
      WorkerModel worker,
      PollRequest request,
      long untilMillis,
      CompletableFuture<PollReply> answer,
      PollReply unknown) {
    if (host.refusesConnections()) {
      answer.complete(PollReply.failed(CallOutcome.NOT_SENT, -1));
      return;
    }
    if (host.replaced && !host.disconnected) {
      time.after(
          1 + random.nextInt(12),
          () -> answer.complete(PollReply.failed(CallOutcome.OTHER_LIFE, -1)));
      return;
    }
    worker.advance();
    if (host.disconnected || worker.isTerminated()) {
      time.after(callTimeoutMillis, () -> answer.complete(unknown));
      return;
    }
    PollReply reply = worker.poll(request);
    boolean answers =
        reply.outcome() != CallOutcome.DONE
            || worker.hasUnacknowledgedEnds(request.acknowledgedEnd())
            || time.steadyMillis() >= untilMillis;
    if (answers) {
      time.after(1 + random.nextInt(12), () -> answer.complete(reply));
    } else {
      time.after(
          POLL_MILLIS, () -> pollUntilAnswer(host, worker, request, untilMillis, answer, unknown));
    }
  }
}
