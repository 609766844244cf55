package org.peridotroute.scheduler.plan;

import static com.google.common.truth.Truth.assertThat;
import static org.peridotroute.scheduler.plan.PlanFixtures.NOW;
import static org.peridotroute.scheduler.plan.PlanFixtures.pending;
import static org.peridotroute.scheduler.plan.PlanFixtures.stepId;
import static org.peridotroute.scheduler.plan.PlanFixtures.worker;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.plan.PlanView.PendingStep;
import org.peridotroute.scheduler.plan.PlanView.WorkerView;

/**
 * Load pattern: tasks that have crashed workers wait beside tasks of other jobs. Guards against
 * losing the work of those that share a worker with them.
 */
final class SuspectPlacementTest {
  private static final int SUSPECT_JOB = 1;
  private static final int OTHER_JOB = 2;
  private static final int RUNNING_JOB = 3;

  private static PendingStep suspect(PendingStep step, long isolateUntilMillis) {
    return new PendingStep(
        step.step(),
        step.spec(),
        step.service(),
        step.tasks(),
        step.priority(),
        step.guaranteed(),
        step.waitingSinceMillis(),
        step.objectiveMillis(),
        step.expiryMillis(),
        step.durationMillis(),
        step.remainingMillis(),
        step.excludedWorkers(),
        new PlanView.Suspects(Set.copyOf(step.tasks()), isolateUntilMillis));
  }

  /** Returns a worker with six free accelerators and a task of another job. */
  private static WorkerView shared(int number, boolean isolated) {
    Capacity free = new Capacity(48_000, 96_000, 6);
    return new WorkerView(
        new WorkerId("w-" + number),
        "s",
        "rack-" + number / 4,
        Set.of("a"),
        PlanFixtures.WORKER_CAPACITY,
        free,
        free,
        Map.of(stepId(RUNNING_JOB), 1),
        0,
        0,
        isolated ? stepId(RUNNING_JOB).job() : null,
        1);
  }

  private static List<PlacementDecision> decide(
      List<WorkerView> workers, List<PendingStep> pending) {
    return new GangFirstPlacer(new PlanSettings(3, 3_400, 900))
        .decide(new PlanView(NOW, workers, pending, List.of(), 0, List.of()));
  }

  private static PlacementDecision start(int job, int worker) {
    return new PlacementDecision.Start(stepId(job), Map.of(0, new WorkerId("w-" + worker)));
  }

  @Test
  void aSuspectRunsOnAWorkerWithoutOtherJobs() {
    List<PendingStep> steps = List.of(suspect(pending(SUSPECT_JOB, 1, 1, 1, false, false), NOW));
    assertThat(decide(List.of(shared(0, false), worker(1, 8, 0)), steps))
        .containsExactly(start(SUSPECT_JOB, 1));
  }

  @Test
  void noOtherJobJoinsASuspect() {
    List<PendingStep> steps =
        List.of(
            suspect(pending(SUSPECT_JOB, 1, 1, 1, false, false), NOW),
            pending(OTHER_JOB, 1, 1, 1, false, false));
    assertThat(decide(List.of(worker(0, 8, 0)), steps)).containsExactly(start(SUSPECT_JOB, 0));
    assertThat(decide(List.of(shared(0, true)), List.of(pending(OTHER_JOB, 1, 1, 1, false, false))))
        .isEmpty();
  }

  @Test
  void aSuspectWaitsForAWorkerToBecomeVacant() {
    List<PendingStep> steps =
        List.of(
            suspect(pending(SUSPECT_JOB, 1, 1, 1, false, false), NOW + 1_000),
            pending(OTHER_JOB, 2, 1, 1, false, false));
    assertThat(decide(List.of(shared(0, false)), steps)).isEmpty();
  }

  @Test
  void aSuspectThatHasWaitedRunsBesideOthers() {
    List<PendingStep> steps = List.of(suspect(pending(SUSPECT_JOB, 1, 1, 1, false, false), NOW));
    assertThat(decide(List.of(shared(0, false)), steps)).containsExactly(start(SUSPECT_JOB, 0));
  }

  @Test
  void aSuspectGangRunsOnWorkersWithoutOtherJobs() {
    List<PendingStep> steps = List.of(suspect(pending(SUSPECT_JOB, 1, 2, 4, true, false), NOW));
    WorkerId vacant = new WorkerId("w-1");
    assertThat(decide(List.of(shared(0, false), worker(1, 8, 0)), steps))
        .containsExactly(
            new PlacementDecision.Start(stepId(SUSPECT_JOB), Map.of(0, vacant, 1, vacant)));
  }

  // A gang runs slowly across racks because one worker of its rack is taken for half a second.
  @Test
  void aGangWaitsForTheWorkerOfASuspectInItsRack() {
    List<WorkerView> workers =
        List.of(
            shared(0, true), worker(1, 8, 0), worker(2, 8, 0), worker(3, 8, 0), worker(4, 8, 0));
    assertThat(decide(workers, List.of(pending(OTHER_JOB, 1, 4, 8, true, false)))).isEmpty();
  }
}
