package org.peridotroute.scheduler.plan;

import java.util.List;

/** Decides about everything that waits. Implementations are stateless. */
public interface Placer {
  /**
   * Decides.
   *
   * @param view what to decide on
   * @return the decisions, which hold together
   */
  List<PlacementDecision> decide(PlanView view);
}
