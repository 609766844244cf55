package org.peridotroute.scheduler.node;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.dispatch.Dispatcher;
import org.peridotroute.scheduler.load.AdmissionPolicy;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.OrganisationAccess;
import org.peridotroute.scheduler.model.ProposedJob;
import org.peridotroute.scheduler.model.Queue;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.place.AllowedRegions;
import org.peridotroute.scheduler.plan.PlacementExplainer;
import org.peridotroute.scheduler.plan.PlacementExplanation;
import org.peridotroute.scheduler.plan.Placer;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.port.Time;

/**
 * Explains where jobs would go now, on the VM that plans. Changes nothing. Confined to the control
 * thread.
 */
public final class JobExplainer {
  /** Largest number of steps that are explained at once; each one takes a whole pass. */
  private static final int MAX_EXPLAINED_STEPS = 4;

  private final String vm;
  private final Time time;
  private final PlacementExplainer placementExplainer;
  private final Map<JobId, JobEntry> entries;
  private final Supplier<Dispatcher> dispatcher;
  private final Supplier<Optional<String>> planner;
  private final OperatorRecords operatorRecords;
  private final WorkerListing workerListing;
  private final Function<Submission, Optional<AdmissionPolicy.Refusal>> admission;

  JobExplainer(
      String vm,
      Time time,
      Placer placer,
      Map<JobId, JobEntry> entries,
      Supplier<Dispatcher> dispatcher,
      Supplier<Optional<String>> planner,
      OperatorRecords operatorRecords,
      WorkerListing workerListing,
      Function<Submission, Optional<AdmissionPolicy.Refusal>> admission) {
    this.vm = vm;
    this.time = time;
    placementExplainer = new PlacementExplainer(placer);
    this.entries = entries;
    this.dispatcher = dispatcher;
    this.planner = planner;
    this.operatorRecords = operatorRecords;
    this.workerListing = workerListing;
    this.admission = admission;
  }

  /**
   * Explains an accepted job.
   *
   * @param id the job
   */
  public JobExplanation explain(JobId id) {
    JobEntry entry = entries.get(id);
    if (dispatcher.get() == null) {
      return notPlanning();
    }
    return entry == null || entry.submission() == null
        ? new JobExplanation.NoSuchJob()
        : explain(entry.submission(), entry.visiblePhase());
  }

  /**
   * Explains a job that has not been submitted, as if it were accepted now.
   *
   * @param job the job
   */
  public JobExplanation explain(ProposedJob job) {
    if (dispatcher.get() == null) {
      return notPlanning();
    }
    Optional<Queue> queue = operatorRecords.configuration().queueNamed(job.queue());
    if (queue.isEmpty()) {
      return refused("no queue is named " + job.queue());
    }
    Optional<OrganisationAccess> organisation =
        operatorRecords.configuration().organisationNamed(job.organisation());
    if (organisation.isEmpty() && !job.organisation().isEmpty()) {
      return refused("no organisation is named " + job.organisation());
    }
    if (organisation.isEmpty() && !queue.get().open()) {
      return refused("queue " + job.queue() + " admits only callers with an API key");
    }
    Optional<List<String>> regions = AllowedRegions.of(queue.get(), organisation);
    if (regions.isEmpty()) {
      return refused(
          "queue %s and organisation %s allow no region in common"
              .formatted(job.queue(), job.organisation()));
    }
    Submission submission =
        new Submission(
            unusedId(),
            job.organisation(),
            job.queue(),
            queue.get().service(),
            queue.get().terms(regions.get()),
            time.wallMillis(),
            job.request());
    Optional<AdmissionPolicy.Refusal> refusal = admission.apply(submission);
    return refusal.isPresent()
        ? new JobExplanation.Refused(describe(refusal.get()))
        : explain(submission, JobPhase.PENDING);
  }

  private static String describe(AdmissionPolicy.Refusal refusal) {
    return "the job could start after %d ms and would be of no use after %d ms; retry after %d s"
        .formatted(refusal.waitMillis(), refusal.usefulMillis(), refusal.retryAfterSeconds());
  }

  private static JobExplanation refused(String reason) {
    return new JobExplanation.Refused(reason + " in the configuration in force");
  }

  private JobExplanation notPlanning() {
    return new JobExplanation.NotPlanning(planner.get().orElse(null));
  }

  /** Returns an id that no job has; the greatest, so that it comes last among equal steps. */
  private JobId unusedId() {
    long number = -1;
    while (entries.containsKey(new JobId("%016x".formatted(number)))) {
      number--;
    }
    return new JobId("%016x".formatted(number));
  }

  private JobExplanation explain(Submission submission, JobPhase phase) {
    Dispatcher current = dispatcher.get();
    PlanView view = current.viewWith(submission);
    List<PlanView.PendingStep> pendingSteps =
        view.pendingSteps().stream()
            .filter(pending -> pending.step().job().equals(submission.id()))
            .toList();
    List<PlacementExplanation> steps =
        pendingSteps.stream()
            .limit(MAX_EXPLAINED_STEPS)
            .map(pending -> placementExplainer.explain(view, pending))
            .toList();
    return new JobExplanation.Explained(
        submission,
        phase,
        steps,
        pendingSteps.size() - steps.size(),
        unavailableByRack(view, current.serviceOf(submission)),
        new JobExplanation.Basis(
            vm,
            current.term().epoch(),
            operatorRecords.configuration().version(),
            current.workerListAgeMillis(),
            operatorRecords.closures(time.steadyMillis()).dataCentres(),
            !current.mayStart()));
  }

  /** Counts the listed workers of a service that are not in the view, by rack. */
  private Map<String, Integer> unavailableByRack(PlanView view, String service) {
    Set<WorkerId> available =
        view.workers().stream().map(PlanView.WorkerView::id).collect(Collectors.toSet());
    Map<String, Integer> counts = new TreeMap<>();
    for (WorkerInfo worker : workerListing.listed()) {
      if (worker.service().equals(service) && !available.contains(worker.id())) {
        counts.merge(worker.rack(), 1, Integer::sum);
      }
    }
    return counts;
  }
}
