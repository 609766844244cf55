package org.peridotroute.scheduler.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.plan.CapacityClaim;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.table.Job;

/** The capacity that is being freed for pending steps. Confined to the control thread. */
final class CapacityClaims {
  private final Map<JobId, Job> jobs;
  private final QueueServices queueServices;
  private final WorkerManager workerManager;
  private final Map<StepId, CapacityClaim> claims = new HashMap<>();

  /**
   * Creates an empty set of claims.
   *
   * @param jobs the jobs of the planner, which keeps them up to date
   * @param queueServices services of the queues
   * @param workerManager the workers
   */
  CapacityClaims(Map<JobId, Job> jobs, QueueServices queueServices, WorkerManager workerManager) {
    this.jobs = jobs;
    this.queueServices = queueServices;
    this.workerManager = workerManager;
  }

  /** Returns the claims. */
  Collection<CapacityClaim> all() {
    return claims.values();
  }

  /** Adds a claim, which replaces an earlier one of the same step. */
  void put(CapacityClaim claim) {
    claims.put(claim.step(), claim);
  }

  /** Removes the claim of a step. */
  void remove(StepId step) {
    claims.remove(step);
  }

  /** Removes the claims of all other steps. */
  void retain(List<PlanView.PendingStep> steps) {
    claims
        .keySet()
        .retainAll(steps.stream().map(PlanView.PendingStep::step).collect(Collectors.toSet()));
  }

  /** Removes the claims on workers that are not of the service on which the step runs now. */
  void removeOutdated() {
    claims.values().removeIf(this::isOutdated);
  }

  private boolean isOutdated(CapacityClaim claim) {
    Job job = jobs.get(claim.step().job());
    if (job == null) {
      return true;
    }
    String service = queueServices.serviceOf(job.submission());
    return !claim.tasksByWorker().keySet().stream().allMatch(id -> isOfService(id, service));
  }

  private boolean isOfService(WorkerId id, String service) {
    WorkerState worker = workerManager.find(id);
    return worker != null && worker.hasInfo() && worker.info().service().equals(service);
  }
}
