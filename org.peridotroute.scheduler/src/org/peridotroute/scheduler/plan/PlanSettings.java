package org.peridotroute.scheduler.plan;

import org.peridotroute.scheduler.model.PolicySettings;

/**
 * Settings of placement decisions.
 *
 * @param farFactor factor by which a task takes longer away from its data or its gang's rack
 * @param reclaimMillis time within which guaranteed capacity must be in use by its owner again
 * @param stopMillis longest time that stopping a task takes
 * @param policy optional policies
 */
public record PlanSettings(
    double farFactor, long reclaimMillis, long stopMillis, PolicySettings policy) {
  /**
   * Time reserved between a decision and the start for the log and the calls; covers two slow log
   * replies.
   */
  public static final long START_MARGIN_MILLIS = 800;

  /**
   * Slowdown from which a rack counts as slow; larger than the error of the estimated slowdowns.
   */
  public static final double SLOW_RACK_THRESHOLD = 1.15;

  /** Fraction of all accelerators that may be held for pending gangs; the rest stays in use. */
  private static final double MAX_HELD_FRACTION = 0.5;

  /**
   * Longest wait of a gang for a rack while most accelerators are idle; half of the wait that users
   * accept.
   */
  private static final long MAX_RACK_WAIT_WHILE_IDLE_MILLIS = 1_500;

  /** Creates settings without optional policies. */
  public PlanSettings(double farFactor, long reclaimMillis, long stopMillis) {
    this(farFactor, reclaimMillis, stopMillis, PolicySettings.NONE);
  }

  /** Returns the longest wait of a gang for a rack while most accelerators are idle. */
  public long maxRackWaitWhileIdleMillis() {
    return MAX_RACK_WAIT_WHILE_IDLE_MILLIS;
  }

  /** Returns the fraction of all accelerators that may be held for pending gangs. */
  public double maxHeldFraction() {
    return MAX_HELD_FRACTION;
  }

  /**
   * Returns the wait after which a guaranteed step also preempts urgent work that borrows its
   * capacity: the latest time at which a stop still lets it start in time.
   */
  public long borrowersStopAfterMillis() {
    return Math.max(0, reclaimMillis - stopMillis - START_MARGIN_MILLIS);
  }

  /**
   * Returns the wait after which a guaranteed gang may be placed across racks, because meeting the
   * reclaim time takes precedence over rack adjacency.
   */
  public long crossRackAfterMillis() {
    return Math.max(0, reclaimMillis - 2 * stopMillis - START_MARGIN_MILLIS);
  }
}
