package org.peridotroute.standin.world;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.dispatch.DispatchSettings;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.WorkerGateway;

/** Derives the behaviour of tasks from the submitted jobs. */
final class SimulatedTasks implements WorkerModel.Environment {
  final Map<JobId, JobRequest> requests = new HashMap<>();
  final Map<TaskId, Long> crashAfterMillis = new HashMap<>();
  final Set<JobId> failingJobs = new HashSet<>();
  double failingTaskShare;
  private final Random random;
  private final Map<WorkerId, WorkerHost> workers;
  private final DispatchSettings dispatchSettings;
  private final Consumer<WorkerId> onCrash;

  SimulatedTasks(
      Random random,
      Map<WorkerId, WorkerHost> workers,
      DispatchSettings dispatchSettings,
      Consumer<WorkerId> onCrash) {
    this.random = random;
    this.workers = workers;
    this.dispatchSettings = dispatchSettings;
    this.onCrash = onCrash;
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
    onCrash.accept(new WorkerId(worker.id()));
  }

  @Override
  public int countRunningMembers(TaskId task, int run) {
    int count = 0;
    StepSpec step = requests.get(task.job()).steps().get(task.step().step());
    for (int i = 0; i < step.count(); i++) {
      TaskId member = new TaskId(task.step(), i);
      for (WorkerHost host : workers.values()) {
        count += host.incarnation.runs(member, run) ? 1 : 0;
      }
    }
    return count;
  }

  @Override
  public void onMemberEnded(TaskId task, int run, WorkerGateway.RunEnd end) {
    StepSpec step = requests.get(task.job()).steps().get(task.step().step());
    for (int i = 0; i < step.count(); i++) {
      for (WorkerHost host : workers.values()) {
        host.incarnation.endMember(new TaskId(task.step(), i), run, end);
      }
    }
  }

  @Override
  public long maxLeaseMillis() {
    return dispatchSettings.leaseMillis();
  }

  @Override
  public long stopMillis() {
    return dispatchSettings.stopMillis() / 2;
  }
}
