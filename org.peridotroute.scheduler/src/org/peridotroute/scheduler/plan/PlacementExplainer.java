package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.StepId;

/**
 * Explains what a scheduling pass would decide for a step. It runs the pass of the placer itself,
 * on a copy of the view if the step is not in it, so that the explanation cannot disagree with the
 * placement. Stateless; changes nothing.
 */
public final class PlacementExplainer {
  private final Placer placer;

  /**
   * Creates the explainer.
   *
   * @param placer the placer whose decisions it explains
   */
  public PlacementExplainer(Placer placer) {
    this.placer = placer;
  }

  /**
   * Explains the decision for a step.
   *
   * @param view the state to decide on
   * @param pending a pending step of the view, or one that is not in it
   * @return the explanation
   */
  public PlacementExplanation explain(PlanView view, PlanView.PendingStep pending) {
    PlanView asked = withStep(view, pending);
    StepId step = pending.step();
    StepTrace trace = placer.trace(asked, step);
    Map<Integer, WorkerId> starts = new HashMap<>();
    Map<WorkerId, Integer> claims = new HashMap<>();
    List<PlacementExplanation.Stop> stops = new ArrayList<>();
    for (PlacementDecision decision : trace.decisions()) {
      if (decision instanceof PlacementDecision.Start start && start.step().equals(step)) {
        starts.putAll(start.workers());
      } else if (decision instanceof PlacementDecision.Reserve reserve
          && reserve.claim().step().equals(step)) {
        claims.putAll(reserve.claim().tasksByWorker());
      } else if (decision instanceof PlacementDecision.Preempt preempt
          && preempt.beneficiary().equals(step)) {
        stops.add(stop(asked, preempt));
      }
    }
    return new PlacementExplanation(
        step,
        outcome(pending, trace, starts, claims, stops),
        pending.priority(),
        pending.guaranteed(),
        pending.usefulness(asked.nowMillis()),
        asked.nowMillis() - pending.waitingSinceMillis(),
        pending.tasks().size(),
        pending.spec().gang(),
        trace.order().subList(0, trace.order().indexOf(step)),
        trace.order().size(),
        starts,
        claims,
        stops,
        trace.racks(),
        trace.waitMillis(),
        trace.urgentReserveKept(),
        trace.isolationAwaited());
  }

  private static PlanView withStep(PlanView view, PlanView.PendingStep pending) {
    if (view.pendingSteps().stream().anyMatch(other -> other.step().equals(pending.step()))) {
      return view;
    }
    List<PlanView.PendingStep> pendingSteps = new ArrayList<>(view.pendingSteps());
    pendingSteps.add(pending);
    return new PlanView(
        view.nowMillis(),
        view.workers(),
        pendingSteps,
        view.runningTasks(),
        view.urgentReserve(),
        view.claims());
  }

  private static PlacementExplanation.Stop stop(PlanView view, PlacementDecision.Preempt preempt) {
    PlanView.RunningTask victim =
        view.runningTasks().stream()
            .filter(run -> run.task().equals(preempt.task()) && run.run() == preempt.run())
            .findFirst()
            .orElseThrow(() -> new IllegalStateException("no run of " + preempt.task()));
    return new PlacementExplanation.Stop(
        victim.task(), victim.run(), victim.worker(), victim.gang());
  }

  private static PlacementExplanation.Outcome outcome(
      PlanView.PendingStep pending,
      StepTrace trace,
      Map<Integer, WorkerId> starts,
      Map<WorkerId, Integer> claims,
      List<PlacementExplanation.Stop> stops) {
    if (starts.size() == pending.tasks().size()) {
      return PlacementExplanation.Outcome.STARTS;
    }
    if (!stops.isEmpty()) {
      return PlacementExplanation.Outcome.STOPS_RUNS;
    }
    if (!starts.isEmpty()) {
      return PlacementExplanation.Outcome.STARTS_PARTLY;
    }
    if (!claims.isEmpty()) {
      return PlacementExplanation.Outcome.AWAITS_STOPS;
    }
    int fittingWhenEmpty =
        trace.racks().stream().mapToInt(StepTrace.RackFit::fittingWhenEmpty).sum();
    int needed = pending.spec().gang() ? pending.tasks().size() : 1;
    return fittingWhenEmpty < needed
        ? PlacementExplanation.Outcome.FITS_NOWHERE
        : PlacementExplanation.Outcome.WAITS;
  }
}
