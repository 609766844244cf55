package org.peridotroute.control;

import org.peridotroute.lib.Checks;

/**
 * Renewal interval and timeout of the planner role, in milliseconds.
 *
 * @param renewMillis interval at which the planner renews its claim
 * @param timeoutMillis time without a renewal after which another VM claims the role
 */
public record PlannerTimes(long renewMillis, long timeoutMillis) {
  /** Checks that at least two renewals fit into a timeout. */
  public PlannerTimes {
    Checks.range("planner.renewMillis", renewMillis, 1, timeoutMillis / 2);
  }
}
