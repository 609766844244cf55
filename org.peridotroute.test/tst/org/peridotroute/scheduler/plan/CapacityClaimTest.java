package org.peridotroute.scheduler.plan;

import static com.google.common.truth.Truth.assertThat;
import static org.peridotroute.scheduler.plan.PlanFixtures.NOW;
import static org.peridotroute.scheduler.plan.PlanFixtures.WORKER_CAPACITY;
import static org.peridotroute.scheduler.plan.PlanFixtures.pending;
import static org.peridotroute.scheduler.plan.PlanFixtures.running;
import static org.peridotroute.scheduler.plan.PlanFixtures.stepId;
import static org.peridotroute.scheduler.plan.PlanFixtures.urgent;
import static org.peridotroute.scheduler.plan.PlanFixtures.waitingSince;
import static org.peridotroute.scheduler.plan.PlanFixtures.worker;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.plan.PlanView.PendingStep;
import org.peridotroute.scheduler.plan.PlanView.RunningTask;
import org.peridotroute.scheduler.plan.PlanView.WorkerView;

/**
 * Pattern: several urgent gangs arrive at once while less urgent work fills all workers. Each stop
 * must serve the gang that it was made for; otherwise one gang takes the capacity freed for
 * another, which then stops further runs and starts late.
 */
final class CapacityClaimTest {
  private static final GangFirstPlacer PLACER =
      new GangFirstPlacer(new PlanSettings(3, 2_900, 400));
  private static final int WORKERS = 8;

  private final List<PendingStep> waiting = new ArrayList<>();
  private final List<RunningTask> running = new ArrayList<>();
  private final Set<WorkerId> stopping = new HashSet<>();
  private List<CapacityClaim> claims = List.of();

  /** Fills all workers with one run each; those of the first rack lose more when stopped. */
  private void fillWorkers() {
    for (int i = 0; i < WORKERS; i++) {
      running.add(running(100 + i, i, 8, false, i < 4 ? 4_000 : 1_000));
    }
  }

  private static WorkerView emptying(int number) {
    WorkerView full = worker(number, 0, 0);
    return new WorkerView(
        full.id(),
        full.service(),
        full.rack(),
        full.labels(),
        full.capacity(),
        full.free(),
        WORKER_CAPACITY,
        Map.of(),
        0,
        0,
        null,
        1);
  }

  /** Runs a pass, records its stops and claims, and returns the number of stops. */
  private int pass() {
    List<WorkerView> workers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      workers.add(stopping.contains(new WorkerId("w-" + i)) ? emptying(i) : worker(i, 0, 0));
    }
    List<RunningTask> preemptible =
        running.stream().filter(run -> !stopping.contains(run.worker())).toList();
    List<PlacementDecision> decisions =
        PLACER.decide(new PlanView(NOW, workers, waiting, preemptible, 0, claims));
    int stops = 0;
    List<CapacityClaim> reserved = new ArrayList<>();
    for (PlacementDecision decision : decisions) {
      if (decision instanceof PlacementDecision.Preempt preempt) {
        stops++;
        running.stream()
            .filter(run -> run.task().equals(preempt.task()))
            .forEach(run -> stopping.add(run.worker()));
      } else if (decision instanceof PlacementDecision.Reserve reserve) {
        reserved.add(reserve.claim());
      }
    }
    claims = reserved;
    return stops;
  }

  @Test
  void urgentGangsKeepTheCapacityThatWasFreedForThem() {
    fillWorkers();
    waiting.add(pending(1, 0, 2, 8, true, false));
    waiting.add(pending(2, 0, 4, 8, true, false));
    assertThat(pass()).isEqualTo(6);
    assertThat(pass()).isEqualTo(0);
  }

  @Test
  void laterUrgentGangDoesNotTakeCapacityFreedForAnother() {
    fillWorkers();
    waiting.add(pending(2, 0, 4, 8, true, false));
    assertThat(pass()).isEqualTo(4);
    waiting.add(pending(1, 0, 2, 8, true, false));
    assertThat(pass()).isEqualTo(2);
    assertThat(pass()).isEqualTo(0);
  }

  @Test
  void gangWhoseClaimedWorkerIsLostClaimsAnother() {
    fillWorkers();
    waiting.add(pending(1, 0, 1, 8, true, false));
    claims = List.of(new CapacityClaim(stepId(1), Map.of(new WorkerId("gone"), 1)));
    assertThat(pass()).isEqualTo(1);
    assertThat(pass()).isEqualTo(0);
  }

  private static RunningTask borrowing(int job, int worker) {
    return urgent(running(job, worker, 8, false, 1_000), false, PlanFixtures.REMAINING_MILLIS);
  }

  @Test
  void guaranteedGangReclaimsCapacityFromUrgentBorrowersWhenDue() {
    for (int i = 0; i < WORKERS; i++) {
      running.add(borrowing(100 + i, i));
    }
    waiting.add(pending(1, 0, 1, 8, true, false));
    assertThat(pass()).isEqualTo(0);
    waiting.set(0, waitingSince(waiting.get(0), NOW - 1_600));
    assertThat(pass()).isEqualTo(0);
    waiting.set(0, waitingSince(waiting.get(0), NOW - 1_700));
    assertThat(pass()).isEqualTo(1);
    assertThat(pass()).isEqualTo(0);
  }

  @Test
  void capacityOfAnOverdueStopIsNotWaitedFor() {
    fillWorkers();
    waiting.add(pending(1, 0, 1, 8, true, false));
    pass();
    WorkerId silent = stopping.iterator().next();
    stopping.clear();
    running.removeIf(run -> run.worker().equals(silent));
    assertThat(pass()).isEqualTo(1);
    assertThat(stopping).doesNotContain(silent);
  }

  @Test
  void capacityHeldForAGangThatCannotStartLeavesClaimsAlone() {
    for (int i = 0; i < WORKERS; i++) {
      running.add(i < 3 ? running(100 + i, i, 8, false, 1_000) : borrowing(100 + i, i));
    }
    waiting.add(pending(1, 0, 3, 8, true, false));
    assertThat(pass()).isEqualTo(3);
    // Smaller, hence first in the queue, but no rack can hold it while the borrowers run.
    waiting.add(pending(2, 0, 2, 8, true, false));
    pass();
    assertThat(claims.stream().map(CapacityClaim::step).toList()).containsExactly(stepId(1));
  }

  /** No rack can be emptied for the gang, so it claims workers of two racks. */
  @Test
  void gangStartsOnCapacityClaimedAcrossRacks() {
    for (int i = 0; i < WORKERS; i++) {
      running.add(i % 4 < 2 ? running(100 + i, i, 8, false, 1_000) : borrowing(100 + i, i));
    }
    PendingStep gang = waitingSince(pending(1, 0, 4, 8, true, false), NOW - 1_400);
    waiting.add(gang);
    assertThat(pass()).isEqualTo(4);
    List<WorkerView> workers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      workers.add(worker(i, i % 4 < 2 ? 8 : 0, 0));
    }
    List<PlacementDecision> decisions =
        PLACER.decide(
            new PlanView(
                NOW,
                workers,
                waiting,
                running.stream().filter(run -> !stopping.contains(run.worker())).toList(),
                0,
                claims));
    assertThat(decisions).hasSize(1);
    assertThat(((PlacementDecision.Start) decisions.get(0)).workers().values())
        .containsExactly(
            new WorkerId("w-0"), new WorkerId("w-1"), new WorkerId("w-4"), new WorkerId("w-5"));
  }
}
