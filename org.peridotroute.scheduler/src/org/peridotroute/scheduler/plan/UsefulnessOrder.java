package org.peridotroute.scheduler.plan;

import java.util.Comparator;

/**
 * Orders steps that can still meet their objective before late ones, and small steps before large
 * ones, so that most callers are served during an overload. Immutable.
 */
public final class UsefulnessOrder implements QueueOrder {
  @Override
  public Comparator<PlanView.PendingStep> comparator(PlanView view) {
    long nowMillis = view.nowMillis();
    return QueueOrder.precedence(nowMillis)
        .thenComparing(pending -> pending.usefulness(nowMillis))
        .thenComparingLong(PlanView.PendingStep::acceleratorMillis)
        .thenComparing(pending -> pending.step().toString());
  }
}
