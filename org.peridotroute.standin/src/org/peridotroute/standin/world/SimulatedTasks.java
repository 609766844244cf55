package org.peridotroute.standin.world;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.WorkerGateway;

/** Derives the behaviour of tasks from the submitted jobs. Used by one thread at a time. */
public final class SimulatedTasks implements WorkerModel.Environment {
  private final Map<JobId, JobRequest> requests = new HashMap<>();
  final Map<TaskId, Long> crashAfterMillis = new HashMap<>();
  final Set<JobId> failingJobs = new HashSet<>();
  double failingTaskShare;
  private final Random random;
  private final Supplier<Stream<WorkerModel>> incarnations;
  private final long maxLeaseMillis;
  private final long stopMillis;
  private final Consumer<WorkerModel> onCrash;

  /**
   * Creates the behaviour of tasks.
   *
   * @param random decides which runs fail
   * @param incarnations returns the current incarnations of all workers
   * @param maxLeaseMillis longest lease that workers grant
   * @param stopMillis how long a run takes to stop
   * @param onCrash called with a worker whose run crashes it
   */
  public SimulatedTasks(
      Random random,
      Supplier<Stream<WorkerModel>> incarnations,
      long maxLeaseMillis,
      long stopMillis,
      Consumer<WorkerModel> onCrash) {
    this.random = random;
    this.incarnations = incarnations;
    this.maxLeaseMillis = maxLeaseMillis;
    this.stopMillis = stopMillis;
    this.onCrash = onCrash;
  }

  /** Adds a job before any of its tasks starts. */
  public void addJob(JobId id, JobRequest request) {
    requests.put(id, request);
  }

  @Override
  public WorkerModel.Behaviour behaviour(TaskId task, int run) {
    StepSpec step = requests.get(task.job()).steps().get(task.step().step());
    boolean fails = random.nextDouble() < failingTaskShare || failingJobs.contains(task.job());
    return new WorkerModel.Behaviour(
        step.reserved(),
        step.service() ? Long.MAX_VALUE : step.estimateMillis(),
        fails,
        step.gang() ? step.count() : 0,
        crashAfterMillis.getOrDefault(task, Long.MAX_VALUE),
        step.checkpoints());
  }

  @Override
  public boolean failsBy(WorkerFault fault) {
    return fault.failingShare() > 0 && random.nextDouble() < fault.failingShare();
  }

  @Override
  public void onCrash(WorkerModel worker) {
    onCrash.accept(worker);
  }

  @Override
  public int countRunningMembers(TaskId task, int run) {
    int members = requests.get(task.job()).steps().get(task.step().step()).count();
    return (int)
        incarnations
            .get()
            .mapToLong(
                worker ->
                    IntStream.range(0, members)
                        .filter(i -> worker.runs(new TaskId(task.step(), i), run))
                        .count())
            .sum();
  }

  @Override
  public void onMemberEnded(TaskId task, int run, WorkerGateway.RunEnd end) {
    int members = requests.get(task.job()).steps().get(task.step().step()).count();
    for (int i = 0; i < members; i++) {
      TaskId member = new TaskId(task.step(), i);
      incarnations.get().forEach(worker -> worker.endMember(member, run, end));
    }
  }

  @Override
  public long maxLeaseMillis() {
    return maxLeaseMillis;
  }

  @Override
  public long stopMillis() {
    return stopMillis;
  }
}
