package org.peridotroute.scheduler.plan;

import java.util.List;

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
}
