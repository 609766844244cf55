package org.peridotroute.scheduler.plan;

import java.util.List;
import org.peridotroute.scheduler.model.StepId;

/**
 * Decides which pending steps start where and which running tasks are preempted. Implementations
 * are stateless.
 */
public interface Placer {
  /**
   * Runs one scheduling pass.
   *
   * @param view the state to decide on
   * @return the decisions, which are valid only together
   */
  List<PlacementDecision> decide(PlanView view);

  /**
   * Runs the same pass and reports what it found and decided for one step. A placer that records
   * nothing reports its decisions alone, with the steps in the order of the view.
   *
   * @param view the state to decide on
   * @param step a pending step of the view
   * @return the trace; its decisions are those of {@link #decide}
   */
  default StepTrace trace(PlanView view, StepId step) {
    return new StepTrace(
        decide(view),
        view.pendingSteps().stream().map(PlanView.PendingStep::step).toList(),
        List.of(),
        StepTrace.NEVER_MILLIS,
        true,
        false);
  }
}
