package org.peridotroute.scheduler.plan;

import java.util.List;
import org.peridotroute.scheduler.model.StepId;

/**
 * What a scheduling pass found and decided for one step. Immutable.
 *
 * @param decisions all decisions of the pass
 * @param order all pending steps in the order in which the pass considered them
 * @param racks racks with workers of the step's service, as found when it was the step's turn
 * @param waitMillis expected time until enough capacity for all its tasks is free where the step
 *     runs at full speed, or {@link #NEVER_MILLIS}
 * @param urgentReserveKept whether the tasks, or a single one if they are no gang, could start
 *     without using capacity that is kept for urgent work
 * @param isolationAwaited whether suspect tasks of the step wait for workers without other jobs
 */
public record StepTrace(
    List<PlacementDecision> decisions,
    List<StepId> order,
    List<RackFit> racks,
    long waitMillis,
    boolean urgentReserveKept,
    boolean isolationAwaited) {
  /** A wait that the ends of running tasks alone will not end. */
  public static final long NEVER_MILLIS = EarliestStart.NEVER_MILLIS;

  /** Copies the lists. */
  public StepTrace {
    decisions = List.copyOf(decisions);
    order = List.copyOf(order);
    racks = List.copyOf(racks);
  }

  /**
   * How many of the waiting tasks fit into a rack.
   *
   * @param rack the rack
   * @param workers number of its workers of the step's service that accept new work
   * @param withoutLabel number of these that lack the label that the step requires
   * @param excluded number of these that are excluded, because tasks of the step failed there or
   *     their region is not allowed
   * @param fittingNow number of tasks that fit now
   * @param fittingAfterStops number of tasks that fit once all pending stops have ended
   * @param fittingWhenEmpty number of tasks that would fit if the workers were empty
   * @param waitMillis expected time until all tasks fit, or {@link #NEVER_MILLIS}
   */
  public record RackFit(
      String rack,
      int workers,
      int withoutLabel,
      int excluded,
      int fittingNow,
      int fittingAfterStops,
      int fittingWhenEmpty,
      long waitMillis) {}
}
