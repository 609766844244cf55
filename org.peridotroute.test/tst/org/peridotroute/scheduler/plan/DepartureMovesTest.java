package org.peridotroute.scheduler.plan;

import static com.google.common.truth.Truth.assertThat;
import static org.peridotroute.scheduler.plan.PlanFixtures.NOW;
import static org.peridotroute.scheduler.plan.PlanFixtures.pending;
import static org.peridotroute.scheduler.plan.PlanFixtures.running;
import static org.peridotroute.scheduler.plan.PlanFixtures.stepId;
import static org.peridotroute.scheduler.plan.PlanFixtures.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.plan.DepartureMoves.Leaving;
import org.peridotroute.scheduler.plan.PlanView.PendingStep;
import org.peridotroute.scheduler.plan.PlanView.RunningTask;
import org.peridotroute.scheduler.plan.PlanView.WorkerView;

/**
 * Pattern: workers announce that they leave in 1.6 s while runs of 7 s are under way. Guards
 * against losing runs that could go on elsewhere, and against stops of runs that could not.
 */
final class DepartureMovesTest {
  private static final long NOTICE_MILLIS = 1_600;
  private static final int RUNS = 64;

  private final DepartureMoves moves = new DepartureMoves(400);
  private final List<PendingStep> waiting = new ArrayList<>();

  private static Leaving leaving(PendingStep step, long remainingMillis) {
    return new Leaving(step, NOTICE_MILLIS, remainingMillis);
  }

  private static PendingStep saving(int job, int accelerators) {
    return pending(job, 2, 1, accelerators, false, true);
  }

  private List<Leaving> select(
      List<WorkerView> workers, List<PlacementDecision> decisions, int moving, Leaving... runs) {
    List<RunningTask> running = new ArrayList<>();
    for (int i = 0; i < RUNS; i++) {
      running.add(running(100 + i, 50, 1, false, 0));
    }
    PlanView view = new PlanView(NOW, workers, waiting, running, 0, List.of());
    return moves.select(view, decisions, List.of(runs), moving);
  }

  @Test
  void savingRunThatCannotEndInTimeMoves() {
    Leaving run = leaving(saving(1, 1), 5_000);
    assertThat(select(List.of(worker(0, 8, 0)), List.of(), 0, run)).containsExactly(run);
  }

  // A stop of a run that saves nothing loses what it might still complete.
  @Test
  void runThatSavesNothingStays() {
    Leaving run = leaving(pending(1, 2, 1, 1, false, false), 5_000);
    assertThat(select(List.of(worker(0, 8, 0)), List.of(), 0, run)).isEmpty();
  }

  @Test
  void runThatEndsInTimeStays() {
    Leaving run = leaving(saving(1, 1), 1_500);
    assertThat(select(List.of(worker(0, 8, 0)), List.of(), 0, run)).isEmpty();
  }

  // A run that is stopped too late is lost like one that is not stopped.
  @Test
  void runWhoseWorkerLeavesBeforeAStopEndsStays() {
    Leaving run = new Leaving(saving(1, 1), 300, 5_000);
    assertThat(select(List.of(worker(0, 8, 0)), List.of(), 0, run)).isEmpty();
  }

  @Test
  void runStaysWithoutCapacityElsewhere() {
    Leaving run = leaving(saving(1, 2), 5_000);
    assertThat(select(List.of(worker(0, 1, 0)), List.of(), 0, run)).isEmpty();
  }

  // Two runs must not be stopped for the same free accelerators, nor one for those of a start.
  @Test
  void capacityIsUsedOnce() {
    Leaving first = leaving(saving(1, 8), 5_000);
    Leaving second = leaving(saving(2, 8), 5_000);
    assertThat(select(List.of(worker(0, 8, 0)), List.of(), 0, first, second))
        .containsExactly(first);
    waiting.add(pending(3, 0, 1, 8, true, false));
    PlacementDecision start =
        new PlacementDecision.Start(stepId(3), Map.of(0, new WorkerId("w-0")));
    assertThat(select(List.of(worker(0, 8, 0)), List.of(start), 0, first)).isEmpty();
  }

  // A gang that does not fit into one rack elsewhere would end and wait.
  @Test
  void gangMovesWholeOrNotAtAll() {
    Leaving gang = leaving(pending(1, 1, 2, 8, true, true), 5_000);
    assertThat(select(List.of(worker(0, 8, 0), worker(4, 8, 0)), List.of(), 0, gang)).isEmpty();
    assertThat(select(List.of(worker(0, 8, 0), worker(1, 8, 0)), List.of(), 0, gang, gang))
        .containsExactly(gang);
  }

  // Many workers that leave together must not stop a large part of all work.
  @Test
  void atMostASixteenthOfAllRunsMovesAtATime() {
    Leaving[] runs = new Leaving[8];
    for (int i = 0; i < runs.length; i++) {
      runs[i] = leaving(saving(1 + i, 1), 5_000);
    }
    assertThat(select(List.of(worker(0, 8, 0)), List.of(), 0, runs)).hasSize(RUNS / 16);
    assertThat(select(List.of(worker(0, 8, 0)), List.of(), 3, runs)).hasSize(1);
  }
}
