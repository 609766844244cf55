package org.peridotroute.scheduler.model;

import org.peridotroute.lib.Checks;

/**
 * Times at which the occurrences of a job are due.
 *
 * @param firstDueMillis wall-clock time of the first occurrence, in milliseconds since 1970
 * @param intervalMillis time between two occurrences, in milliseconds
 * @param repeats number of occurrences; 0 for a job that runs once. It runs on submission unless
 *     firstDueMillis is set.
 */
public record Schedule(long firstDueMillis, long intervalMillis, int repeats) {
  /** One occurrence, due on submission. */
  public static final Schedule ONCE = new Schedule(0, 0, 0);

  /** Maximum number of occurrences of a job; limits the memory that one job takes on a VM. */
  public static final int MAX_REPEATS = 10_000;

  /** Checks the ranges. */
  public Schedule {
    Checks.range("schedule.repeats", repeats, 0, MAX_REPEATS);
    Checks.range("schedule.intervalMillis", intervalMillis, 0, Integer.MAX_VALUE);
  }

  /** Returns whether occurrences are due at given times, not on submission. */
  public boolean isTimed() {
    return repeats > 0 || firstDueMillis > 0;
  }

  /** Returns the number of occurrences, at least 1. */
  public int occurrences() {
    return Math.max(1, repeats);
  }

  /**
   * Returns when an occurrence is due.
   *
   * @param occurrence number of the occurrence, from 0
   * @return wall-clock time in milliseconds since 1970; 0 if it is due on submission
   */
  public long dueMillis(int occurrence) {
    return isTimed() ? firstDueMillis + occurrence * intervalMillis : 0;
  }
}
