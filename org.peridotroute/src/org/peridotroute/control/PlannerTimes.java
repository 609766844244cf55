package org.peridotroute.control;

import org.peridotroute.lib.Checks;

/**
 * Times of the planner's role.
 *
 * @param renewMillis how often the planner shows that it is alive
 * @param timeoutMillis how long a VM sees no sign of the planner before it claims the role
 */
public record PlannerTimes(long renewMillis, long timeoutMillis) {
  /** Checks that several renewals fit into a timeout. */
  public PlannerTimes {
    Checks.range("planner.renewMillis", renewMillis, 1, timeoutMillis / 2);
  }
}
