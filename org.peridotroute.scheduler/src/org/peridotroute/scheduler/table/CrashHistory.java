package org.peridotroute.scheduler.table;

/**
 * The crashes of workers under the runs of one task. A task is given up after repeated crashes that
 * happened while it had a worker to itself. Crashes in company accuse nobody and count only towards
 * a higher limit, and so do failures that many workers share, if they hit a task soon after a
 * start. Immutable.
 *
 * @param crashes number of workers that crashed under the task
 * @param conclusive number of those crashes that nothing but the task explains
 * @param longestMillis longest time for which a run lived before its worker crashed
 */
public record CrashHistory(int crashes, int conclusive, long longestMillis) {
  /** What else may explain a crash. */
  public enum Circumstances {
    /** Nothing: the job had the worker to itself. */
    ALONE,
    /** Tasks of other jobs on the worker. */
    IN_COMPANY,
    /** A failure that many workers share. */
    SHARED_FAILURE
  }

  /** No crash. */
  public static final CrashHistory NONE = new CrashHistory(0, 0, 0);

  /** Age below which a run may be what crashed its worker, whatever else failed with it. */
  public static final long YOUNG_RUN_MILLIS = 1_000;

  /** Crashes after which a task is given up if enough of them are conclusive. */
  private static final int MAX_CRASHES = 3;

  private static final int MIN_CONCLUSIVE = 2;

  /** Crashes after which a task is given up whatever the circumstances. */
  private static final int MAX_INCONCLUSIVE_CRASHES = 5;

  /** Time by which a run must outlive the earlier ones before its worker takes other work. */
  private static final long PROBATION_MARGIN_MILLIS = 500;

  /** Age beyond which a crash is not the fault of the task, which may run for months. */
  private static final long SOUND_RUN_MILLIS = 600_000;

  /**
   * Adds a crash.
   *
   * @param ageMillis time for which the run lived, in milliseconds
   * @param circumstances what else may explain it
   * @return the history with this crash
   */
  public CrashHistory plus(long ageMillis, Circumstances circumstances) {
    if (ageMillis > SOUND_RUN_MILLIS) {
      return NONE;
    }
    long suspicionMillis = isSuspect() ? probationMillis() : YOUNG_RUN_MILLIS;
    if (circumstances == Circumstances.SHARED_FAILURE && ageMillis > suspicionMillis) {
      return this;
    }
    boolean accuses =
        circumstances == Circumstances.ALONE && (crashes == 0 || ageMillis <= probationMillis());
    return new CrashHistory(
        crashes + 1, conclusive + (accuses ? 1 : 0), Math.max(longestMillis, ageMillis));
  }

  /** Returns whether a worker has crashed under the task, so that it should run alone. */
  public boolean isSuspect() {
    return crashes > 0;
  }

  /** Returns whether the task must not be started again. */
  public boolean isExhausted() {
    return (crashes >= MAX_CRASHES && conclusive >= MIN_CONCLUSIVE)
        || crashes >= MAX_INCONCLUSIVE_CRASHES;
  }

  /**
   * Returns the time for which a run has its worker to itself, in milliseconds; 0 if the task is
   * not suspect.
   */
  public long probationMillis() {
    return isSuspect() ? longestMillis + PROBATION_MARGIN_MILLIS : 0;
  }
}
