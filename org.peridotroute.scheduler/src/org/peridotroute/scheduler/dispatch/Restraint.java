package org.peridotroute.scheduler.dispatch;

import org.peridotroute.scheduler.conduct.SavedConduct;
import org.peridotroute.scheduler.model.Capacity;

/** Limits the new work of one worker because of its conduct. */
final class Restraint {
  private long pausedUntilMillis;
  private boolean quarantined;
  private int consecutiveFailures;
  private double share = 1;
  private SavedConduct saved = SavedConduct.NONE;

  /** Returns whether the worker may get new work. */
  boolean permits(long nowMillis) {
    return !quarantined && nowMillis >= pausedUntilMillis;
  }

  /** Counts a failure and keeps new work off the worker until the given time. */
  void quarantine(long until) {
    consecutiveFailures++;
    pauseUntil(until);
  }

  void resetFailures() {
    consecutiveFailures = 0;
  }

  /** Returns the rank of the worker in the order in which work prefers workers, 0 for the best. */
  int consecutiveFailures() {
    return consecutiveFailures;
  }

  /** Keeps new work off the worker until the given time. */
  void pauseUntil(long until) {
    pausedUntilMillis = Math.max(pausedUntilMillis, until);
  }

  void save(SavedConduct latest) {
    saved = latest;
  }

  /** Returns what a later planner needs to know of the worker's conduct. */
  SavedConduct saved() {
    return saved;
  }

  /**
   * Replaces the limits, except for a pause.
   *
   * @param inQuarantine whether the worker gets no new work
   * @param rank rank of the worker in the order in which work prefers workers
   * @param offeredShare share of its capacity that is offered to new work
   */
  void set(boolean inQuarantine, int rank, double offeredShare) {
    quarantined = inQuarantine;
    consecutiveFailures = rank;
    share = offeredShare;
  }

  /**
   * Returns the part of the free capacity that is offered to new work.
   *
   * @param free capacity that is free
   * @param total capacity of the worker
   */
  Capacity limit(Capacity free, Capacity total) {
    if (share >= 1 || free.isNegative()) {
      return free;
    }
    Capacity withheld =
        new Capacity(
            withheld(total.milliCores()),
            withheld(total.memoryMb()),
            withheld(total.accelerators()));
    return free.minus(withheld).max(Capacity.NONE);
  }

  private long withheld(long total) {
    return total - (long) (share * (double) total);
  }
}
