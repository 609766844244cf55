package org.peridotroute.scheduler.plan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.StepId;

/**
 * The claims of earlier passes that can still be met, applied to the capacity of the workers. Each
 * is released when it is the turn of its step. Mutable; used for one pass only.
 */
final class ClaimTable {
  private final CapacityLedger ledger;
  private final List<PlanView.PendingStep> queue;
  private final Map<StepId, CapacityClaim> claims = new HashMap<>();

  /**
   * Applies claims.
   *
   * @param ledger the capacity that they apply to
   * @param claimed the claims of earlier passes
   * @param queue the pending steps in their order; an earlier step's claim goes before a later
   *     one's
   */
  ClaimTable(CapacityLedger ledger, List<CapacityClaim> claimed, List<PlanView.PendingStep> queue) {
    this.ledger = ledger;
    this.queue = queue;
    Map<StepId, CapacityClaim> byStep = new HashMap<>();
    claimed.forEach(claim -> byStep.put(claim.step(), claim));
    for (PlanView.PendingStep pending : queue) {
      CapacityClaim claim = byStep.get(pending.step());
      if (claim != null && canMeet(pending, claim)) {
        claims.put(claim.step(), claim);
        claim
            .tasksByWorker()
            .forEach((worker, tasks) -> ledger.entry(worker).claim(pending, tasks));
      }
    }
  }

  private boolean canMeet(PlanView.PendingStep pending, CapacityClaim claim) {
    return claim.tasksByWorker().entrySet().stream()
        .allMatch(claimed -> canMeet(pending, claimed.getKey(), claimed.getValue()));
  }

  private boolean canMeet(PlanView.PendingStep pending, WorkerId worker, int tasks) {
    CapacityLedger.Entry entry = ledger.entry(worker);
    return entry != null
        && !pending.excludedWorkers().contains(worker)
        && entry.countFittingAfterStops(pending, tasks) >= tasks;
  }

  /** Releases the claim of a step and returns it, or null if the step has none. */
  CapacityClaim release(PlanView.PendingStep pending) {
    CapacityClaim claim = claims.remove(pending.step());
    if (claim != null) {
      claim
          .tasksByWorker()
          .forEach((worker, tasks) -> ledger.entry(worker).releaseClaim(pending, tasks));
    }
    return claim;
  }

  /** Drops the claims of steps without a guarantee, in favour of a guaranteed step that is due. */
  void dropThoseWithoutGuarantee() {
    queue.stream().filter(pending -> !pending.guaranteed()).forEach(pending -> release(pending));
  }
}
