package org.peridotroute.scheduler.plan;

import static com.google.common.truth.Truth.assertThat;
import static org.peridotroute.scheduler.plan.PlanFixtures.NOW;
import static org.peridotroute.scheduler.plan.PlanFixtures.lasting;
import static org.peridotroute.scheduler.plan.PlanFixtures.pending;
import static org.peridotroute.scheduler.plan.PlanFixtures.running;
import static org.peridotroute.scheduler.plan.PlanFixtures.stepId;
import static org.peridotroute.scheduler.plan.PlanFixtures.urgent;
import static org.peridotroute.scheduler.plan.PlanFixtures.waitingSince;
import static org.peridotroute.scheduler.plan.PlanFixtures.withTimes;
import static org.peridotroute.scheduler.plan.PlanFixtures.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.plan.PlanView.PendingStep;
import org.peridotroute.scheduler.plan.PlanView.RunningTask;
import org.peridotroute.scheduler.plan.PlanView.WorkerView;

/** Checks the placement decisions for the load patterns of days with heavy load. */
final class LoadPatternTest {
  private static final GangFirstPlacer PLACER =
      new GangFirstPlacer(new PlanSettings(3, 2_900, 400));

  private static List<PlacementDecision> decide(
      List<WorkerView> workers,
      List<PendingStep> waiting,
      List<RunningTask> running,
      long reserve) {
    return PLACER.decide(new PlanView(NOW, workers, waiting, running, reserve, List.of()));
  }

  @Test
  void singleTasksLeaveWholeRackToGang() {
    List<WorkerView> workers =
        List.of(
            worker(0, 2, 0),
            worker(1, 8, 0),
            worker(2, 8, 0),
            worker(3, 8, 0),
            worker(4, 8, 0),
            worker(5, 8, 0),
            worker(6, 8, 0),
            worker(7, 8, 0));
    List<PlacementDecision> decisions =
        decide(
            workers,
            List.of(pending(1, 1, 4, 8, true, false), pending(2, 2, 2, 1, false, false)),
            List.of(),
            0);
    PlacementDecision.Start gang = (PlacementDecision.Start) decisions.get(0);
    PlacementDecision.Start singles = (PlacementDecision.Start) decisions.get(1);
    assertThat(gang.workers().values())
        .containsExactly(
            new WorkerId("w-4"), new WorkerId("w-5"), new WorkerId("w-6"), new WorkerId("w-7"));
    assertThat(singles.workers().values())
        .containsExactly(new WorkerId("w-0"), new WorkerId("w-0"));
  }

  private static PlacementDecision claimOnFirstWorker(int job) {
    return new PlacementDecision.Reserve(
        new CapacityClaim(stepId(job), Map.of(new WorkerId("w-0"), 1)));
  }

  @Test
  void urgentBurstPreemptsTaskWithLeastUnsavedWork() {
    List<PlacementDecision> decisions =
        decide(
            List.of(worker(0, 0, 8), worker(1, 0, 0)),
            List.of(pending(1, 0, 1, 8, true, false)),
            List.of(running(2, 0, 8, false, 0), running(3, 1, 8, false, 9_000)),
            0);
    assertThat(decisions)
        .containsExactly(
            new PlacementDecision.Preempt(new TaskId(stepId(2), 0), 1, stepId(1)),
            claimOnFirstWorker(1));
  }

  @Test
  void nonUrgentWorkNeverPreempts() {
    assertThat(
            decide(
                List.of(worker(0, 0, 0)),
                List.of(pending(1, 1, 1, 8, true, false)),
                List.of(running(2, 0, 8, false, 0)),
                0))
        .isEmpty();
  }

  @Test
  void wideLowPriorityStepLeavesUrgentReserve() {
    List<PlacementDecision> decisions =
        decide(
            List.of(worker(0, 8, 0), worker(1, 8, 0)),
            List.of(pending(1, 2, 16, 1, false, false)),
            List.of(),
            8);
    assertThat(((PlacementDecision.Start) decisions.get(0)).workers()).hasSize(8);
  }

  @Test
  void checkpointingWorkMayUseUrgentReserve() {
    List<PlacementDecision> decisions =
        decide(
            List.of(worker(0, 8, 0), worker(1, 8, 0)),
            List.of(pending(1, 2, 16, 1, false, true)),
            List.of(),
            8);
    assertThat(((PlacementDecision.Start) decisions.get(0)).workers()).hasSize(16);
  }

  @Test
  void gangLargerThanAnyRackIsPlacedAcrossRacks() {
    List<WorkerView> workers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      workers.add(worker(i, 8, 0));
    }
    List<PlacementDecision> decisions =
        decide(workers, List.of(pending(1, 1, 6, 8, true, false)), List.of(), 0);
    assertThat(((PlacementDecision.Start) decisions.get(0)).workers()).hasSize(6);
  }

  @Test
  void capacityBeingReclaimedIsNotReallocated() {
    WorkerView reclaimed =
        new WorkerView(
            new WorkerId("w-0"),
            "s",
            "rack-0",
            Set.of("a"),
            PlanFixtures.WORKER_CAPACITY,
            new Capacity(32_000, 64_000, 4),
            PlanFixtures.WORKER_CAPACITY,
            Map.of(),
            0,
            0,
            null,
            1);
    List<PlacementDecision> decisions =
        decide(
            List.of(reclaimed),
            List.of(pending(1, 0, 1, 8, true, false), pending(2, 2, 4, 1, false, true)),
            List.of(),
            0);
    assertThat(decisions).containsExactly(claimOnFirstWorker(1));
  }

  private static PendingStep withDeadlines(
      PendingStep pending, long objectiveMillis, long expiryMillis) {
    return withTimes(pending, false, pending.waitingSinceMillis(), objectiveMillis, expiryMillis);
  }

  private static List<Integer> startedJobs(List<PlacementDecision> decisions) {
    List<Integer> jobs = new ArrayList<>();
    for (PlacementDecision decision : decisions) {
      if (decision instanceof PlacementDecision.Start start) {
        jobs.add(Integer.parseInt(start.step().job().value(), 16));
      }
    }
    return jobs;
  }

  @Test
  void expiredJobsComeLastDuringOverload() {
    PendingStep expired =
        withDeadlines(pending(1, 1, 1, 8, false, false), NOW - 9_000, NOW - 1_000);
    PendingStep onTime = pending(2, 2, 1, 8, false, false);
    assertThat(
            startedJobs(decide(List.of(worker(0, 8, 0)), List.of(expired, onTime), List.of(), 0)))
        .containsExactly(2);
    assertThat(startedJobs(decide(List.of(worker(0, 8, 0)), List.of(expired), List.of(), 0)))
        .containsExactly(1);
  }

  @Test
  void jobsThatCanBeOnTimeGoBeforeLateOnesDuringOverload() {
    PendingStep late = withDeadlines(pending(1, 1, 1, 8, false, false), NOW, NOW + 20_000);
    PendingStep onTime = pending(2, 1, 1, 8, false, false);
    assertThat(startedJobs(decide(List.of(worker(0, 8, 0)), List.of(late, onTime), List.of(), 0)))
        .containsExactly(2);
  }

  @Test
  void smallJobsGoBeforeLargeOnesOfSamePriority() {
    List<PendingStep> burst =
        List.of(
            pending(1, 0, 4, 8, true, false),
            pending(2, 0, 1, 8, false, false),
            pending(3, 0, 1, 8, false, false));
    List<WorkerView> rack =
        List.of(worker(0, 8, 0), worker(1, 8, 0), worker(2, 8, 0), worker(3, 8, 0));
    assertThat(startedJobs(decide(rack, burst, List.of(), 0))).containsExactly(2, 3);
  }

  @Test
  void smallTasksLeaveHeldCapacityToPendingGang() {
    List<WorkerView> rack = List.of(worker(0, 8, 0), worker(1, 4, 0));
    List<PendingStep> waiting =
        List.of(pending(1, 1, 1, 8, true, false), pending(2, 2, 12, 1, false, false));
    List<WorkerView> fragmented = List.of(worker(0, 4, 0), worker(1, 2, 0));
    assertThat(startedJobs(decide(rack, waiting, List.of(), 0))).contains(1);
    assertThat(
            ((PlacementDecision.Start) decide(fragmented, waiting, List.of(), 0).get(0)).workers())
        .containsExactly(0, new WorkerId("w-1"), 1, new WorkerId("w-1"));
  }

  private static Map<Integer, WorkerId> tasksBesideHeldCapacity(
      int gangPriority, long taskMillis, long gangWaitMillis) {
    PendingStep gang = pending(1, gangPriority, 1, 8, true, false);
    PendingStep tasks = lasting(pending(2, 2, 6, 1, false, true), taskMillis);
    List<WorkerView> fragmented = List.of(worker(0, 4, 0), worker(1, 2, 0));
    RunningTask blocking = urgent(running(3, 0, 4, false, 0), true, gangWaitMillis);
    return decide(fragmented, List.of(gang, tasks), List.of(blocking), 0).stream()
        .filter(decision -> decision instanceof PlacementDecision.Start)
        .map(decision -> ((PlacementDecision.Start) decision).workers())
        .findFirst()
        .orElseThrow();
  }

  @Test
  void preemptibleWorkUsesCapacityHeldForUrgentGang() {
    assertThat(tasksBesideHeldCapacity(0, 9_000, 4_000)).hasSize(6);
  }

  /** Only urgent gangs may preempt, so what starts on held capacity delays any other gang. */
  @Test
  void preemptibleWorkLeavesCapacityHeldForOtherGangs() {
    assertThat(tasksBesideHeldCapacity(1, 9_000, 4_000).values())
        .containsExactly(new WorkerId("w-1"), new WorkerId("w-1"));
  }

  @Test
  void shortWorkUsesHeldCapacityUntilTheGangCanStart() {
    assertThat(tasksBesideHeldCapacity(1, 3_000, 4_000)).hasSize(6);
  }

  @Test
  void capacityIsHeldWhereTheGangCanStartFirst() {
    PendingStep gang = pending(1, 1, 1, 8, true, false);
    PendingStep tasks = lasting(pending(2, 2, 8, 1, false, false), 9_000);
    List<RunningTask> running =
        List.of(
            urgent(running(3, 0, 4, false, 0), true, 8_000),
            urgent(running(4, 4, 4, false, 0), true, 1_000));
    List<PlacementDecision> decisions =
        decide(List.of(worker(0, 4, 0), worker(4, 4, 0)), List.of(gang, tasks), running, 0);
    assertThat(((PlacementDecision.Start) decisions.get(0)).workers().values().stream().distinct())
        .containsExactly(new WorkerId("w-0"));
  }

  private static WorkerView onSlowRack(WorkerView worker) {
    return new WorkerView(
        worker.id(),
        worker.service(),
        worker.rack(),
        worker.labels(),
        worker.capacity(),
        worker.free(),
        worker.freeAfterStops(),
        worker.tasksByStep(),
        worker.preemptibleAccelerators(),
        worker.consecutiveFailures(),
        worker.isolatedFor(),
        1.3);
  }

  @Test
  void urgentWorkRunsOnFastRacksAndOtherWorkOnSlowOnes() {
    List<WorkerView> racks = List.of(onSlowRack(worker(0, 8, 0)), worker(4, 8, 0));
    List<PendingStep> waiting =
        List.of(pending(1, 0, 1, 8, true, false), pending(2, 1, 1, 8, true, false));
    List<PlacementDecision> decisions = decide(racks, waiting, List.of(), 0);
    assertThat(((PlacementDecision.Start) decisions.get(0)).workers())
        .containsExactly(0, new WorkerId("w-4"));
    assertThat(((PlacementDecision.Start) decisions.get(1)).workers())
        .containsExactly(0, new WorkerId("w-0"));
    assertThat(startedJobs(decide(List.of(racks.get(0)), waiting, List.of(), 0))).contains(1);
  }

  /**
   * Returns eight workers in two racks with some free accelerators each, so that no rack is
   * entirely free.
   */
  private static List<WorkerView> fragmentedRacks(long freeAccelerators) {
    List<WorkerView> workers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      workers.add(worker(i, freeAccelerators, 0));
    }
    return workers;
  }

  @Test
  void gangIsPlacedAcrossRacksWhenMostCapacityIsIdle() {
    PendingStep gang = pending(1, 1, 5, 4, true, false);
    assertThat(startedJobs(decide(fragmentedRacks(6), List.of(gang), List.of(), 0))).isEmpty();
    PendingStep waited = waitingSince(gang, NOW - 2_000);
    assertThat(startedJobs(decide(fragmentedRacks(6), List.of(waited), List.of(), 0)))
        .containsExactly(1);
    assertThat(startedJobs(decide(fragmentedRacks(4), List.of(waited), List.of(), 0))).isEmpty();
  }

  @Test
  void noCapacityIsHeldWhileMostIsIdle() {
    PendingStep gang = pending(1, 1, 4, 7, true, false);
    PendingStep singles = pending(2, 2, 40, 1, false, false);
    List<PlacementDecision> decisions =
        decide(fragmentedRacks(6), List.of(gang, singles), List.of(), 0);
    assertThat(((PlacementDecision.Start) decisions.get(0)).workers()).hasSize(40);
  }
}
