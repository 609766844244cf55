package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.StepId;

/**
 * Orders steps by what a delay costs their callers ({@link DelayCost}), divided by the capacity
 * that the step needs and by the use that its organisation already makes of its guarantee. The need
 * counts less the older the step is, so that large steps do not starve. Immutable.
 */
public final class CallerCostOrder implements QueueOrder {
  /** Value of a job of its queue's mean size that does not depend on size; the users' figure. */
  private static final double FIXED_VALUE = 0.3;

  /** Highest value of a job relative to one of mean size, as set by the users. */
  private static final double MAX_VALUE = 4;

  /**
   * Least share of an organisation, in accelerators: those of one worker. An organisation without a
   * guarantee would otherwise be far over its share with its first task.
   */
  private static final long MIN_SHARE = 8;

  /**
   * Exponent of the need of a step that is about to be of no use; it is 1 for a new step. At 1,
   * wide steps are of no use to their callers under a stream of small ones. At 0, they take so much
   * that the callers of small steps lose a quarter more value at 2.2 times the capacity.
   */
  private static final double MIN_NEED_EXPONENT = 0.5;

  private static final double MILLIS_PER_SECOND = 1_000.0;

  @Override
  public Comparator<PlanView.PendingStep> comparator(PlanView view) {
    List<PlanView.PendingStep> steps = new ArrayList<>(view.pendingSteps());
    Map<StepId, Double> costs = costsPerNeed(view);
    steps.sort(highestFirst(costs, view.nowMillis()));
    return highestFirst(dividedByUse(costs, steps, view.organisations()), view.nowMillis());
  }

  /** Orders steps by precedence, then score, then the part of their useful wait that is over. */
  private static Comparator<PlanView.PendingStep> highestFirst(
      Map<StepId, Double> scores, long nowMillis) {
    return QueueOrder.precedence(nowMillis)
        .thenComparingDouble(pending -> -scores.get(pending.step()))
        .thenComparingDouble(pending -> -DelayCost.age(pending, nowMillis))
        .thenComparing(pending -> pending.step().toString());
  }

  private static Map<StepId, Double> costsPerNeed(PlanView view) {
    Map<Integer, Double> meanSizes =
        view.pendingSteps().stream()
            .collect(
                Collectors.groupingBy(
                    PlanView.PendingStep::priority,
                    Collectors.averagingDouble(pending -> pending.job().coreSeconds())));
    Map<String, Capacity> workerSizes = new HashMap<>();
    view.workers()
        .forEach(worker -> workerSizes.merge(worker.service(), worker.capacity(), Capacity::max));
    Map<StepId, Double> costs = new HashMap<>();
    for (PlanView.PendingStep pending : view.pendingSteps()) {
      double value = value(pending, meanSizes.get(pending.priority()));
      double need =
          workerSeconds(pending, workerSizes.getOrDefault(pending.service(), Capacity.NONE));
      double age = DelayCost.age(pending, view.nowMillis());
      double countedNeed = Math.pow(1 + need, 1 - (1 - MIN_NEED_EXPONENT) * age);
      costs.put(
          pending.step(), value * DelayCost.valueAtRisk(pending, view.nowMillis()) / countedNeed);
    }
    return costs;
  }

  /** Returns the value of a job on time, relative to a job of mean size. */
  private static double value(PlanView.PendingStep pending, double meanSize) {
    double relativeSize = meanSize > 0 ? pending.job().coreSeconds() / meanSize : 1;
    return Math.min(MAX_VALUE, FIXED_VALUE + (1 - FIXED_VALUE) * relativeSize);
  }

  /** Returns the time that the waiting tasks would take up whole workers, in seconds. */
  private static double workerSeconds(PlanView.PendingStep pending, Capacity worker) {
    Capacity need = pending.spec().reserved();
    double share =
        Math.max(
            share(need.accelerators(), worker.accelerators()),
            Math.max(
                share(need.milliCores(), worker.milliCores()),
                share(need.memoryMb(), worker.memoryMb())));
    return pending.tasks().size() * share * pending.durationMillis() / MILLIS_PER_SECOND;
  }

  private static double share(long need, long available) {
    return available > 0 ? Math.min(1, (double) need / available) : 0;
  }

  /**
   * Divides the cost of each step by 1 + the use of its organisation's share. Steps of the
   * organisation that come earlier count as use, so that one pass does not give all free capacity
   * to the organisation that sends most.
   *
   * @param steps the steps in the order of their costs
   */
  private static Map<StepId, Double> dividedByUse(
      Map<StepId, Double> costs,
      List<PlanView.PendingStep> steps,
      Map<String, PlanView.OrganisationShare> organisations) {
    Map<String, Long> used = new HashMap<>();
    organisations.forEach((name, share) -> used.put(name, share.acceleratorsInUse()));
    Map<StepId, Double> scores = new HashMap<>();
    for (PlanView.PendingStep pending : steps) {
      String organisation = pending.job().organisation();
      long need = pending.tasks().size() * pending.spec().reserved().accelerators();
      long usedBefore = used.merge(organisation, need, Long::sum) - need;
      long guaranteed =
          organisations
              .getOrDefault(organisation, PlanView.OrganisationShare.NONE)
              .guaranteedAccelerators();
      double use = (double) usedBefore / Math.max(MIN_SHARE, guaranteed);
      scores.put(pending.step(), costs.get(pending.step()) / (1 + use));
    }
    return scores;
  }
}
