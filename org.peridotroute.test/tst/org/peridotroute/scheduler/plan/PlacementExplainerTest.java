package org.peridotroute.scheduler.plan;

import static com.google.common.truth.Truth.assertThat;
import static org.peridotroute.scheduler.plan.PlanFixtures.NOW;
import static org.peridotroute.scheduler.plan.PlanFixtures.REMAINING_MILLIS;
import static org.peridotroute.scheduler.plan.PlanFixtures.pending;
import static org.peridotroute.scheduler.plan.PlanFixtures.running;
import static org.peridotroute.scheduler.plan.PlanFixtures.stepId;
import static org.peridotroute.scheduler.plan.PlanFixtures.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.plan.PlacementExplanation.Outcome;
import org.peridotroute.scheduler.plan.PlanView.PendingStep;
import org.peridotroute.scheduler.plan.PlanView.RunningTask;
import org.peridotroute.scheduler.plan.PlanView.WorkerView;

/** Compares explanations with the decisions of the placer. */
final class PlacementExplainerTest {
  private static final GangFirstPlacer PLACER =
      new GangFirstPlacer(new PlanSettings(3, 2_900, 400));
  private static final PlacementExplainer EXPLAINER = new PlacementExplainer(PLACER);
  private static final int WORKERS = 8;

  private static PlanView view(long freeAccelerators, List<PendingStep> waiting) {
    List<WorkerView> workers = new ArrayList<>();
    List<RunningTask> running = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      workers.add(worker(i, freeAccelerators, 0));
      if (freeAccelerators < 8) {
        running.add(running(100 + i, i, 8 - (int) freeAccelerators, false, 1_000));
      }
    }
    return new PlanView(NOW, workers, waiting, running, 0, List.of());
  }

  /** Guards against an explanation that names other workers than those that the step gets. */
  @Test
  void stepThatStarts() {
    PendingStep gang = pending(1, 1, 6, 4, true, false);
    PlanView view = view(8, List.of(pending(2, 0, 2, 8, true, false), gang));
    PlacementExplanation explanation = EXPLAINER.explain(view, gang);
    assertThat(explanation.outcome()).isEqualTo(Outcome.STARTS);
    assertThat(PLACER.decide(view))
        .contains(new PlacementDecision.Start(gang.step(), explanation.starts()));
    assertThat(explanation.stepsBefore()).containsExactly(stepId(2));
    assertThat(explanation.guaranteed()).isFalse();
    assertThat(explanation.usefulness()).isEqualTo(PlanView.Usefulness.ON_TIME);
  }

  /** Guards against an explanation that does not show what a waiting step lacks, and where. */
  @Test
  void stepThatWaits() {
    PendingStep gang = pending(1, 1, 4, 8, true, false);
    PlanView view = view(2, List.of(gang));
    PlacementExplanation explanation = EXPLAINER.explain(view, gang);
    assertThat(PLACER.decide(view)).isEmpty();
    assertThat(explanation.outcome()).isEqualTo(Outcome.WAITS);
    assertThat(explanation.waitMillis()).isEqualTo(REMAINING_MILLIS);
    assertThat(explanation.racks())
        .containsExactly(
            new StepTrace.RackFit("rack-0", 4, 0, 0, 0, 0, 4, REMAINING_MILLIS),
            new StepTrace.RackFit("rack-1", 4, 0, 0, 0, 0, 4, REMAINING_MILLIS));
  }

  /** Guards against counts that ignore what earlier steps of the same pass have taken. */
  @Test
  void capacityIsCountedAtTheTurnOfTheStep() {
    PendingStep single = pending(1, 2, 1, 8, false, false);
    PlanView view = view(8, List.of(pending(2, 1, 8, 8, false, false), single));
    PlacementExplanation explanation = EXPLAINER.explain(view, single);
    assertThat(explanation.outcome()).isEqualTo(Outcome.WAITS);
    assertThat(explanation.racks().stream().mapToInt(StepTrace.RackFit::fittingNow).sum())
        .isEqualTo(0);
  }

  /** Guards against stops or claims in the explanation that differ from the placer's. */
  @Test
  void stepThatPreempts() {
    PendingStep gang = pending(1, 0, 2, 8, true, false);
    PlanView view = view(0, List.of(gang));
    PlacementExplanation explanation = EXPLAINER.explain(view, gang);
    assertThat(explanation.outcome()).isEqualTo(Outcome.STOPS_RUNS);
    List<PlacementDecision> explained = new ArrayList<>();
    explanation
        .stops()
        .forEach(
            stop ->
                explained.add(new PlacementDecision.Preempt(stop.task(), stop.run(), gang.step())));
    explained.add(
        new PlacementDecision.Reserve(new CapacityClaim(gang.step(), explanation.claims())));
    assertThat(PLACER.decide(view)).containsExactlyElementsIn(explained).inOrder();
  }

  /** Guards against a step that can never start and is reported as waiting its turn. */
  @Test
  void stepThatFitsNowhere() {
    PendingStep gang = pending(1, 1, 9, 8, true, false);
    PlanView view = view(8, List.of(gang));
    PlacementExplanation explanation = EXPLAINER.explain(view, gang);
    assertThat(PLACER.decide(view)).isEmpty();
    assertThat(explanation.outcome()).isEqualTo(Outcome.FITS_NOWHERE);
    assertThat(explanation.waitMillis()).isEqualTo(StepTrace.NEVER_MILLIS);
    assertThat(explanation.racks().get(0).fittingWhenEmpty()).isEqualTo(4);
  }

  /** Guards against a step that waits for the urgent reserve without any reason shown. */
  @Test
  void stepThatLeavesTheUrgentReserve() {
    PendingStep gang = pending(1, 1, 4, 8, true, false);
    PlanView full = view(8, List.of(gang));
    PlanView view = new PlanView(NOW, full.workers(), List.of(gang), List.of(), 40, List.of());
    PlacementExplanation explanation = EXPLAINER.explain(view, gang);
    assertThat(PLACER.decide(view)).isEmpty();
    assertThat(explanation.outcome()).isEqualTo(Outcome.WAITS);
    assertThat(explanation.urgentReserveKept()).isFalse();
  }

  /** Guards against a step that was not sent and is explained otherwise than if it had been. */
  @Test
  void stepThatIsNotInTheViewIsExplainedAsIfItWere() {
    PendingStep gang = pending(1, 0, 2, 8, true, false);
    PendingStep other = pending(2, 1, 8, 2, false, false);
    PlanView without = view(0, List.of(other));
    assertThat(EXPLAINER.explain(without, gang))
        .isEqualTo(EXPLAINER.explain(view(0, List.of(other, gang)), gang));
    assertThat(without.pendingSteps()).containsExactly(other);
  }

  /** Guards against a disagreement with the placer in states that no other test sets up. */
  @Test
  void explanationsAgreeWithThePlacerOnRandomViews() {
    for (int seed = 0; seed < 200; seed++) {
      PlanView view = randomView(new Random(seed));
      List<PlacementDecision> decisions = PLACER.decide(view);
      Map<Object, Object> starts = new HashMap<>();
      Map<Object, Object> claims = new HashMap<>();
      for (PlacementDecision decision : decisions) {
        if (decision instanceof PlacementDecision.Start start) {
          starts.put(start.step(), start.workers());
        } else if (decision instanceof PlacementDecision.Reserve reserve) {
          claims.put(reserve.claim().step(), reserve.claim().tasksByWorker());
        }
      }
      for (PendingStep pending : view.pendingSteps()) {
        PlacementExplanation explanation = EXPLAINER.explain(view, pending);
        assertThat(explanation.starts())
            .isEqualTo(starts.getOrDefault(pending.step(), Map.<Integer, WorkerId>of()));
        assertThat(explanation.claims())
            .isEqualTo(claims.getOrDefault(pending.step(), Map.<WorkerId, Integer>of()));
        assertThat(explanation.stops())
            .hasSize(
                (int)
                    decisions.stream()
                        .filter(PlacementDecision.Preempt.class::isInstance)
                        .map(PlacementDecision.Preempt.class::cast)
                        .filter(preempt -> preempt.beneficiary().equals(pending.step()))
                        .count());
      }
    }
  }

  private static PlanView randomView(Random random) {
    List<WorkerView> workers = new ArrayList<>();
    List<RunningTask> running = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      int free = random.nextInt(9);
      workers.add(worker(i, free, 0));
      if (free < 8) {
        running.add(running(100 + i, i, 8 - free, false, random.nextInt(5_000)));
      }
    }
    List<PendingStep> waiting = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      waiting.add(
          pending(
              i,
              random.nextInt(3),
              1 + random.nextInt(6),
              1 + random.nextInt(8),
              random.nextBoolean(),
              random.nextBoolean()));
    }
    return new PlanView(NOW, workers, waiting, running, random.nextInt(20), List.of());
  }
}
