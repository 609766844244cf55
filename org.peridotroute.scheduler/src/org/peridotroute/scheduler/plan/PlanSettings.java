package org.peridotroute.scheduler.plan;

/**
 * Figures that decisions depend on.
 *
 * @param farFactor how much longer a task takes away from its data or its gang's rack
 * @param reclaimMillis time within which guaranteed room must be in use again
 * @param stopMillis longest time that a stop takes
 */
public record PlanSettings(double farFactor, long reclaimMillis, long stopMillis) {
  /** Time kept for the log and the calls between a decision and the start; two slow log answers. */
  public static final long ORDER_MARGIN_MILLIS = 800;

  /** Slowness from which a rack counts as slow; above the error of what is learned of racks. */
  public static final double SLOW = 1.15;

  /** Part of all accelerators that may be held for gangs that wait; the rest goes on being used. */
  private static final double HELD_PART = 0.5;

  /** Longest wait of a gang for a rack while most room is idle; half of what the users allow. */
  private static final long IDLE_WAIT_MILLIS = 1_500;

  /** Returns the longest wait of a gang for a rack while most room is idle. */
  public long idleWaitMillis() {
    return IDLE_WAIT_MILLIS;
  }

  /** Returns the part of all accelerators that may be held for gangs that wait. */
  public double heldPart() {
    return HELD_PART;
  }

  /** Returns the age at which guaranteed work goes anywhere, for its guarantee counts most. */
  public long anywhereAfterMillis() {
    return Math.max(0, reclaimMillis - 2 * stopMillis - ORDER_MARGIN_MILLIS);
  }
}
