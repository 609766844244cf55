package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.plan.PlanView.PendingStep;
import org.peridotroute.scheduler.plan.PlanView.RunningTask;
import org.peridotroute.scheduler.plan.PlanView.WorkerView;

/** Workers in racks of four with eight accelerators each, and work for them. */
final class PlanFixtures {
  /** Capacity of each worker. */
  static final Capacity WORKER_CAPACITY = new Capacity(64_000, 128_000, 8);

  /** Steady time of the passes. */
  static final long NOW = 100_000;

  /** Expected time until each running task ends. */
  static final long REMAINING_MILLIS = 2_000;

  private PlanFixtures() {}

  static StepId stepId(int number) {
    return new StepId(new JobId("%016x".formatted(number)), 0, 0);
  }

  static WorkerView worker(int number, long freeAccelerators, long preemptibleAccelerators) {
    Capacity free =
        new Capacity(freeAccelerators * 8_000, freeAccelerators * 16_000, freeAccelerators);
    return new WorkerView(
        new WorkerId("w-" + number),
        "s",
        "rack-" + number / 4,
        Set.of("a"),
        WORKER_CAPACITY,
        free,
        free,
        Map.of(),
        preemptibleAccelerators,
        0,
        null,
        1);
  }

  static PendingStep pending(
      int job, int priority, int count, int accelerators, boolean gang, boolean checkpoints) {
    StepSpec spec =
        StepSpec.newBuilder()
            .setCount(count)
            .setNeed(new Capacity(accelerators * 1_000L, 1_000, accelerators))
            .setGang(gang)
            .setSameRack(gang)
            .setCheckpoints(checkpoints)
            .build();
    List<Integer> tasks = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      tasks.add(i);
    }
    return new PendingStep(
        stepId(job),
        spec,
        "s",
        tasks,
        priority,
        priority == 0,
        NOW,
        NOW + 4_000,
        NOW + 12_000,
        2_500,
        2_500,
        Set.of(),
        PlanView.Suspects.NONE);
  }

  static RunningTask running(
      int job, int worker, int accelerators, boolean gang, long unsavedMillis) {
    return new RunningTask(
        new TaskId(stepId(job), worker),
        1,
        new WorkerId("w-" + worker),
        new Capacity(accelerators * 1_000L, 1_000, accelerators),
        2,
        false,
        gang,
        unsavedMillis,
        REMAINING_MILLIS);
  }

  static PendingStep withTimes(
      PendingStep pending,
      boolean guaranteed,
      long waitingSinceMillis,
      long objectiveMillis,
      long expiryMillis) {
    return new PendingStep(
        pending.step(),
        pending.spec(),
        pending.service(),
        pending.tasks(),
        pending.priority(),
        guaranteed,
        waitingSinceMillis,
        objectiveMillis,
        expiryMillis,
        pending.durationMillis(),
        pending.remainingMillis(),
        pending.excludedWorkers(),
        pending.suspects(),
        pending.job());
  }

  static PendingStep waitingSince(PendingStep pending, long waitingSinceMillis) {
    return withTimes(
        pending,
        pending.guaranteed(),
        waitingSinceMillis,
        pending.objectiveMillis(),
        pending.expiryMillis());
  }

  static PendingStep lasting(PendingStep pending, long durationMillis) {
    return new PendingStep(
        pending.step(),
        pending.spec(),
        pending.service(),
        pending.tasks(),
        pending.priority(),
        pending.guaranteed(),
        pending.waitingSinceMillis(),
        pending.objectiveMillis(),
        pending.expiryMillis(),
        durationMillis,
        durationMillis,
        pending.excludedWorkers(),
        pending.suspects(),
        pending.job());
  }

  /** Returns a copy of a step with other waiting tasks. */
  static PendingStep withTasks(PendingStep pending, List<Integer> tasks) {
    return copy(pending, tasks, pending.job());
  }

  /** Returns a copy of a step that belongs to a job of an organisation. */
  static PendingStep ofOrganisation(PendingStep pending, String organisation) {
    double coreSeconds =
        pending.tasks().size()
            * pending.spec().reserved().pricedCores()
            * pending.durationMillis()
            / 1_000;
    return copy(pending, pending.tasks(), new PlanView.JobView(organisation, coreSeconds));
  }

  private static PendingStep copy(PendingStep pending, List<Integer> tasks, PlanView.JobView job) {
    return new PendingStep(
        pending.step(),
        pending.spec(),
        pending.service(),
        tasks,
        pending.priority(),
        pending.guaranteed(),
        pending.waitingSinceMillis(),
        pending.objectiveMillis(),
        pending.expiryMillis(),
        pending.durationMillis(),
        pending.remainingMillis(),
        pending.excludedWorkers(),
        pending.suspects(),
        job);
  }

  /** Returns an urgent copy of a run. */
  static RunningTask urgent(RunningTask run, boolean guaranteed, long remainingMillis) {
    return new RunningTask(
        run.task(),
        run.run(),
        run.worker(),
        run.held(),
        0,
        guaranteed,
        run.gang(),
        run.unsavedMillis(),
        remainingMillis);
  }
}
