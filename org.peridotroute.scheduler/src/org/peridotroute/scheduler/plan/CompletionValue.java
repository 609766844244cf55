package org.peridotroute.scheduler.plan;

import org.peridotroute.scheduler.plan.PlanView.Usefulness;

/**
 * What the completion of a job is worth to its caller, in core-seconds of wasted work, so that a
 * gain can be compared with the work that it costs.
 */
final class CompletionValue {
  /**
   * Value of the work of one core-second: the jobs that callers of all queues send in a second are
   * worth 30.7 to them on time and need 26,100 core-seconds.
   */
  private static final double CORE_SECOND_VALUE = 30.7 / 26_100;

  /** Value on time by priority, as the callers of each queue put it. */
  private static final double[] ON_TIME = {4, 3, 1};

  /** Value of a late completion by priority, as the callers of each queue put it. */
  private static final double[] LATE = {0.8, 0.9, 0.3};

  private CompletionValue() {}

  /** Returns the value of a completion in core-seconds. */
  static double coreSeconds(int priority, Usefulness usefulness) {
    int row = Math.min(priority, ON_TIME.length - 1);
    return switch (usefulness) {
      case ON_TIME -> ON_TIME[row] / CORE_SECOND_VALUE;
      case LATE -> LATE[row] / CORE_SECOND_VALUE;
      case NONE -> 0;
    };
  }
}
