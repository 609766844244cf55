package org.peridotroute.scheduler.node;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.peridotroute.scheduler.dispatch.Dispatcher;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.OrganisationAccess;
import org.peridotroute.scheduler.model.ProposedJob;
import org.peridotroute.scheduler.model.Queue;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.place.AllowedRegions;
import org.peridotroute.scheduler.place.Closures;
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
  private final Supplier<Configuration> configuration;
  private final Supplier<Closures> closures;

  JobExplainer(
      String vm,
      Time time,
      Placer placer,
      Map<JobId, JobEntry> entries,
      Supplier<Dispatcher> dispatcher,
      Supplier<Optional<String>> planner,
      Supplier<Configuration> configuration,
      Supplier<Closures> closures) {
    this.vm = vm;
    this.time = time;
    placementExplainer = new PlacementExplainer(placer);
    this.entries = entries;
    this.dispatcher = dispatcher;
    this.planner = planner;
    this.configuration = configuration;
    this.closures = closures;
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
    Optional<Queue> queue = configuration.get().queueNamed(job.queue());
    if (queue.isEmpty()) {
      return refused("no queue is named " + job.queue());
    }
    Optional<OrganisationAccess> organisation =
        configuration.get().organisationNamed(job.organisation());
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
    return explain(
        new Submission(
            unusedId(),
            job.organisation(),
            job.queue(),
            queue.get().service(),
            queue.get().terms(regions.get()),
            time.wallMillis(),
            job.request()),
        JobPhase.PENDING);
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
        new JobExplanation.Basis(
            vm,
            current.term().epoch(),
            configuration.get().version(),
            current.workerListAgeMillis(),
            closures.get().dataCentres(),
            !current.mayStart()));
  }
}
