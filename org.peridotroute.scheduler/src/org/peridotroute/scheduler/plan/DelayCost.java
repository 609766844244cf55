package org.peridotroute.scheduler.plan;

/**
 * What it costs a caller if a step waits longer. Values are parts of the value that the job has for
 * its caller when it completes on time. Pure functions.
 */
final class DelayCost {
  /**
   * Weight of a late completion. Callers value it at 0.2 to 0.3; the lower weight leaves more of an
   * overloaded fleet to steps that can still be on time.
   */
  static final double LATE_VALUE = 0.1;

  /** Shortest horizon: the log and the calls of a start take up to about a second. */
  private static final long MIN_HORIZON_MILLIS = 1_000;

  private DelayCost() {}

  /**
   * Returns the value that is at risk if a step waits one horizon longer. The horizon is the time
   * for which another task would hold the capacity, taken to be as long as a task of the step. A
   * loss that is due within the horizon counts fully. A loss that is n horizons away counts as 1/n,
   * because the step can still start in many passes before that. A step whose job can be of no use
   * any more costs nothing.
   *
   * @param pending the step
   * @param nowMillis steady time
   * @return the value at risk, from 0 to 1
   */
  static double valueAtRisk(PlanView.PendingStep pending, long nowMillis) {
    double horizonMillis = Math.max(MIN_HORIZON_MILLIS, pending.durationMillis());
    long endMillis = nowMillis + pending.remainingMillis();
    double lateValue = LATE_VALUE * proximity(pending.expiryMillis() - endMillis, horizonMillis);
    return switch (pending.usefulness(nowMillis)) {
      case ON_TIME ->
          lateValue
              + (1 - LATE_VALUE) * proximity(pending.objectiveMillis() - endMillis, horizonMillis);
      case LATE -> lateValue;
      case NONE -> 0;
    };
  }

  private static double proximity(long slackMillis, double horizonMillis) {
    return horizonMillis / Math.max(horizonMillis, (double) slackMillis);
  }

  /**
   * Returns how much of its useful wait a step has used up: 0 at first, 0.5 when it has to start to
   * be on time, 1 when it has to start to be of any use.
   *
   * @param pending the step
   * @param nowMillis steady time
   */
  static double age(PlanView.PendingStep pending, long nowMillis) {
    long latestOnTimeMillis =
        Math.max(
            pending.waitingSinceMillis(), pending.objectiveMillis() - pending.remainingMillis());
    long latestUsefulMillis = pending.expiryMillis() - pending.remainingMillis();
    return (elapsedShare(pending.waitingSinceMillis(), latestOnTimeMillis, nowMillis)
            + elapsedShare(latestOnTimeMillis, latestUsefulMillis, nowMillis))
        / 2;
  }

  private static double elapsedShare(long fromMillis, long toMillis, long nowMillis) {
    if (nowMillis >= toMillis) {
      return 1;
    }
    return Math.max(0, (double) (nowMillis - fromMillis) / (toMillis - fromMillis));
  }
}
