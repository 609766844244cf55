package org.peridotroute.standin.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway.CallOutcome;
import org.peridotroute.scheduler.port.WorkerGateway.CallReply;
import org.peridotroute.scheduler.port.WorkerGateway.EndedTask;
import org.peridotroute.scheduler.port.WorkerGateway.PollReply;
import org.peridotroute.scheduler.port.WorkerGateway.PollRequest;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.scheduler.port.WorkerGateway.RunningTask;
import org.peridotroute.scheduler.port.WorkerGateway.StartRequest;

/**
 * One incarnation of a worker: its running tasks, its lease, the highest fencing token it has seen,
 * and the ended tasks that are not yet acknowledged. Notifies an observer of starts and ends. Used
 * by one thread.
 */
public final class WorkerModel {
  /** Ends that a worker lists at once. */
  private static final int MAX_LISTED_ENDS = 500;

  /** Receives the events of all workers. */
  public interface Observer {
    /** Called when a run of a task has started. */
    void onStarted(WorkerModel worker, TaskId task, int run, Capacity held);

    /** Called when a run of a task has ended. */
    void onEnded(WorkerModel worker, TaskId task, int run, RunEnd end);

    /** Called when a worker crashes, before its runs end. */
    void onCrashed(WorkerModel worker);

    /**
     * Called when the scheduler has acknowledged that it has stored the end of a run, unless the
     * lease of the worker expired between the two: the scheduler may then have taken the run for
     * lapsed.
     */
    void onAcknowledged(WorkerModel worker, TaskId task, int run, RunEnd end);
  }

  /**
   * Behaviour of one run of a task.
   *
   * @param held capacity that it occupies
   * @param workMillis run time; for a gang, only time during which all members are present counts
   * @param fails whether it fails at the end
   * @param members number of members of its gang, 0 for a task outside any gang
   * @param crashAfterMillis time after its start at which it crashes the worker; {@code
   *     Long.MAX_VALUE} for never
   * @param saves whether it saves its progress when it is stopped
   */
  public record Behaviour(
      Capacity held,
      long workMillis,
      boolean fails,
      int members,
      long crashAfterMillis,
      boolean saves) {}

  /** Behaviour of the tasks, state of gangs on all workers, and time limits. */
  public interface Environment {
    /** Returns the behaviour of a run that is about to start. */
    Behaviour behaviour(TaskId task, int run);

    /** Returns whether a run that is about to complete fails through a fault of its worker. */
    boolean failsBy(WorkerFault fault);

    /** Returns how many members of a gang's run are running on any worker. */
    int countRunningMembers(TaskId task, int run);

    /** Called when a member of a gang's run has ended, to end the other members too. */
    void onMemberEnded(TaskId task, int run, RunEnd end);

    /** Called when a run crashes its worker; terminates the incarnation. */
    void onCrash(WorkerModel worker);

    /** Returns the maximum duration of a lease, on the worker's clock. */
    long maxLeaseMillis();

    /** Returns how long a run takes to stop after a stop request. */
    long stopMillis();
  }

  private static final class Run {
    private final TaskId task;
    private final int run;
    private final Behaviour behaviour;
    private final long startedAtMillis;
    private long remainingMillis;
    private long stopAtMillis = Long.MAX_VALUE;

    Run(TaskId task, int run, Behaviour behaviour, String checkpoint, long nowMillis) {
      startedAtMillis = nowMillis;
      this.task = task;
      this.run = run;
      this.behaviour = behaviour;
      long doneMillis = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint);
      remainingMillis = behaviour.workMillis() - doneMillis;
    }

    /** Returns the work done, which is what a checkpoint of the model contains. */
    private String checkpoint() {
      return behaviour.saves() ? Long.toString(behaviour.workMillis() - remainingMillis) : "";
    }
  }

  private final String id;
  private final long startedMillis;
  private final Time time;
  private final Environment environment;
  private final Observer observer;
  private final double clockRate;
  private final Map<TaskId, Run> running = new LinkedHashMap<>();
  private final Map<TaskId, Integer> highestBarredRun = new HashMap<>();
  private final List<EndedTask> ended = new ArrayList<>();
  private long highestToken;
  private long leaseEndMillis;
  private long endCount;
  private long lastEndBeforeExpiry;
  private long advancedToMillis;
  private boolean terminated;
  private WorkerFault fault = WorkerFault.NONE;

  /**
   * Starts an incarnation without tasks.
   *
   * @param id id of the worker
   * @param time clock of the world
   * @param clockRate rate of the worker's clock; 0.98 for a clock that is 2% slow
   * @param environment behaviour of the tasks
   * @param observer receives starts and ends
   */
  public WorkerModel(
      String id, Time time, double clockRate, Environment environment, Observer observer) {
    this.id = id;
    this.time = time;
    this.clockRate = clockRate;
    this.environment = environment;
    this.observer = observer;
    startedMillis = time.wallMillis();
    advancedToMillis = time.steadyMillis();
  }

  /** Returns the id of the worker. */
  public String id() {
    return id;
  }

  /** Returns the wall-clock time at which this incarnation started. */
  public long startedMillis() {
    return startedMillis;
  }

  /** Returns the worker's clock, which starts at 0 with this incarnation. */
  public long clockMillis() {
    return (long) ((time.wallMillis() - startedMillis) * clockRate);
  }

  /** Returns the capacity that running tasks occupy. */
  public Capacity used() {
    Capacity used = Capacity.NONE;
    for (Run run : running.values()) {
      used = used.plus(run.behaviour.held());
    }
    return used;
  }

  /** Returns the tasks that are running. */
  public Set<TaskId> runningTasks() {
    return Set.copyOf(running.keySet());
  }

  /** Returns whether the worker is running this run of the task. */
  public boolean runs(TaskId task, int run) {
    Run found = running.get(task);
    return found != null && found.run == run;
  }

  /** Ends this incarnation. All runs end without being reported to the scheduler. */
  public void terminate() {
    terminated = true;
    for (Run run : List.copyOf(running.values())) {
      observer.onEnded(this, run.task, run.run, RunEnd.LAPSED);
    }
    running.clear();
  }

  /** Sets the fault of this incarnation. */
  public void setFault(WorkerFault latest) {
    fault = latest;
  }

  /** Returns whether this incarnation has ended. */
  public boolean isTerminated() {
    return terminated;
  }

  /** Advances all runs to the current time and ends those that are due. */
  public void advance() {
    if (terminated) {
      return;
    }
    long now = time.steadyMillis();
    long elapsedMillis = now - advancedToMillis;
    advancedToMillis = now;
    for (Run run : List.copyOf(running.values())) {
      if (!running.containsKey(run.task)) {
        continue;
      }
      if (now - run.startedAtMillis >= run.behaviour.crashAfterMillis()) {
        environment.onCrash(this);
        return;
      }
      if (clockMillis() > leaseEndMillis) {
        end(run, RunEnd.LAPSED);
      } else if (now >= run.stopAtMillis) {
        end(run, RunEnd.STOPPED);
      } else if (isComplete(run)) {
        run.remainingMillis -= Math.round(elapsedMillis * fault.speed());
        if (run.remainingMillis <= 0) {
          end(
              run,
              run.behaviour.fails() || environment.failsBy(fault) ? RunEnd.FAILED : RunEnd.DONE);
        }
      }
    }
  }

  /** Returns whether all members of the gang are running; always true outside a gang. */
  private boolean isComplete(Run run) {
    int members = run.behaviour.members();
    return members == 0 || environment.countRunningMembers(run.task, run.run) >= members;
  }

  private void end(Run run, RunEnd how) {
    running.remove(run.task);
    highestBarredRun.merge(run.task, run.run, Math::max);
    String checkpoint = how == RunEnd.STOPPED ? run.checkpoint() : "";
    ended.add(new EndedTask(++endCount, run.task, run.run, how, checkpoint));
    observer.onEnded(this, run.task, run.run, how);
    if (run.behaviour.members() > 0) {
      environment.onMemberEnded(run.task, run.run, how);
    }
  }

  /**
   * Ends a member of a gang because another member has ended: as done if that one is done, else as
   * broken.
   */
  public void endMember(TaskId task, int run, RunEnd how) {
    Run found = running.get(task);
    if (found != null && found.run == run) {
      running.remove(task);
      highestBarredRun.merge(task, run, Math::max);
      RunEnd end = how == RunEnd.DONE ? RunEnd.DONE : RunEnd.BROKEN;
      ended.add(new EndedTask(++endCount, task, run, end, ""));
      observer.onEnded(this, task, run, end);
    }
  }

  /** Executes or rejects a start request. A repeat of a start that is still running is done. */
  public CallReply start(StartRequest request) {
    if (request.token() < highestToken) {
      return reply(CallOutcome.FENCED);
    }
    highestToken = request.token();
    extendLease(request.leaseEndMillis());
    if (runs(request.task(), request.run())) {
      return reply(CallOutcome.DONE);
    }
    if (request.run() <= highestBarredRun.getOrDefault(request.task(), 0)
        || running.containsKey(request.task())) {
      return reply(CallOutcome.SUPERSEDED);
    }
    if (request.leaseEndMillis() <= clockMillis()) {
      return reply(CallOutcome.EXPIRED);
    }
    if (fault.refuses()) {
      return reply(CallOutcome.UNHEALTHY);
    }
    Behaviour behaviour = environment.behaviour(request.task(), request.run());
    Run started =
        new Run(
            request.task(), request.run(), behaviour, request.checkpoint(), time.steadyMillis());
    running.put(request.task(), started);
    observer.onStarted(this, request.task(), request.run(), behaviour.held());
    return reply(CallOutcome.DONE);
  }

  /** Executes or rejects a stop request, which also bars later starts of the run. */
  public CallReply stop(TaskId task, int run, long requestToken) {
    if (requestToken < highestToken) {
      return reply(CallOutcome.FENCED);
    }
    highestToken = requestToken;
    highestBarredRun.merge(task, run, Math::max);
    Run found = running.get(task);
    if (found != null && found.run <= run) {
      found.stopAtMillis =
          Math.min(found.stopAtMillis, time.steadyMillis() + environment.stopMillis());
    }
    return reply(CallOutcome.DONE);
  }

  /** Drops the ended tasks that a poll acknowledges. Called when the request arrives. */
  public void acknowledge(PollRequest request) {
    if (request.token() < highestToken) {
      return;
    }
    noteExpiry();
    for (EndedTask end : List.copyOf(ended)) {
      if (end.number() <= request.acknowledgedEnd()) {
        ended.remove(end);
        if (end.number() > lastEndBeforeExpiry) {
          observer.onAcknowledged(this, end.task(), end.run(), end.end());
        }
      }
    }
  }

  /** Returns the running and ended tasks, and extends the lease if the request asks for it. */
  public PollReply poll(PollRequest request) {
    if (request.token() < highestToken) {
      return PollReply.failed(CallOutcome.FENCED, clockMillis());
    }
    highestToken = request.token();
    if (request.leaseEndMillis() >= 0) {
      extendLease(request.leaseEndMillis());
    }
    List<RunningTask> runningTasks = new ArrayList<>();
    running
        .values()
        .forEach(
            run ->
                runningTasks.add(new RunningTask(run.task, run.run, "", progressPercent(run), 0)));
    boolean complete = ended.size() <= MAX_LISTED_ENDS;
    return new PollReply(
        CallOutcome.DONE,
        clockMillis(),
        startedMillis,
        runningTasks,
        complete ? ended : ended.subList(0, MAX_LISTED_ENDS),
        complete);
  }

  /** Returns whether a task has ended whose end is not yet acknowledged. */
  public boolean hasUnacknowledgedEnds(long acknowledged) {
    return ended.stream().anyMatch(end -> end.number() > acknowledged);
  }

  private static int progressPercent(Run run) {
    long totalMillis = Math.max(1, run.behaviour.workMillis());
    return (int) (100 * (totalMillis - run.remainingMillis) / totalMillis);
  }

  /** Remembers which ends came before the last expiry of the lease. */
  private void noteExpiry() {
    if (clockMillis() > leaseEndMillis) {
      lastEndBeforeExpiry = endCount;
    }
  }

  private void extendLease(long untilMillis) {
    noteExpiry();
    long maxEndMillis = clockMillis() + environment.maxLeaseMillis();
    leaseEndMillis = Math.max(leaseEndMillis, Math.min(untilMillis, maxEndMillis));
  }

  private CallReply reply(CallOutcome outcome) {
    return new CallReply(outcome, clockMillis());
  }
}
