package org.peridotroute.scheduler.plan;

import java.util.Comparator;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.PolicySettings;

/** Order in which a scheduling pass places the pending steps. Implementations are stateless. */
public interface QueueOrder {
  /**
   * Returns the order of the pending steps of a view. It is total and depends on the view only.
   *
   * @param view the state to decide on
   * @return a comparator that sorts the step to be placed first to the front
   */
  Comparator<PlanView.PendingStep> comparator(PlanView view);

  /**
   * Returns the order that the policies of a deployment ask for.
   *
   * @param policy the policies
   */
  static QueueOrder of(PolicySettings policy) {
    return policy.has(Feature.CALLER_COST) ? new CallerCostOrder() : new UsefulnessOrder();
  }

  /**
   * Returns the precedence that every order keeps: expired steps without a guarantee come last, the
   * rest is ordered by priority, then guaranteed steps first.
   *
   * @param nowMillis steady time
   */
  static Comparator<PlanView.PendingStep> precedence(long nowMillis) {
    return Comparator.<PlanView.PendingStep>comparingInt(
            pending -> !pending.guaranteed() && pending.isExpired(nowMillis) ? 1 : 0)
        .thenComparingInt(PlanView.PendingStep::priority)
        .thenComparing(pending -> pending.guaranteed() ? 0 : 1);
  }
}
