package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.PolicySettings;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.place.AllowedRegions;
import org.peridotroute.scheduler.plan.CapacityClaim;
import org.peridotroute.scheduler.plan.PlanSettings;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.Occurrence;
import org.peridotroute.scheduler.table.StepProgress;
import org.peridotroute.scheduler.table.TaskProgress;

/**
 * Builds the immutable view that a pass decides on. Keeps the peak of urgent demand between passes.
 */
final class PlanViewBuilder {
  private final DurationEstimator durationEstimator;
  private final SpeedEstimates speeds;
  private final QueueServices queueServices;

  /** Time within which a run should have ended after its stop was requested. */
  private final long maxStopMillis;

  private final PolicySettings policy;
  private final UrgentDemand urgentDemand;
  private final SuspectWaits suspectWaits;
  private final RunningTaskViews runningTaskViews;
  private final StopLimiter stopLimiter;

  /**
   * Creates a builder.
   *
   * @param termStartMillis steady time at which the term began
   */
  PlanViewBuilder(
      DurationEstimator durationEstimator,
      SpeedEstimates speeds,
      StopHistory stopHistory,
      QueueServices queueServices,
      DispatchSettings settings,
      long termStartMillis) {
    this.durationEstimator = durationEstimator;
    this.speeds = speeds;
    this.queueServices = queueServices;
    policy = settings.policy();
    maxStopMillis = settings.stopMillis() + PlanSettings.START_MARGIN_MILLIS;
    urgentDemand = new UrgentDemand();
    suspectWaits = new SuspectWaits();
    runningTaskViews =
        new RunningTaskViews(durationEstimator, speeds, policy, stopHistory, maxStopMillis);
    stopLimiter = new StopLimiter(settings, termStartMillis);
  }

  private PlanViewBuilder(PlanViewBuilder original) {
    durationEstimator = original.durationEstimator;
    speeds = original.speeds;
    queueServices = original.queueServices;
    policy = original.policy;
    maxStopMillis = original.maxStopMillis;
    urgentDemand = original.urgentDemand.copy();
    suspectWaits = original.suspectWaits.copy();
    runningTaskViews = original.runningTaskViews;
    stopLimiter = original.stopLimiter;
  }

  /** Returns a copy for a view that no pass decides on; it leaves this builder as it is. */
  PlanViewBuilder copy() {
    return new PlanViewBuilder(this);
  }

  PlanView build(
      Collection<Job> jobs,
      Map<JobId, Job> jobsById,
      Collection<WorkerState> workerStates,
      Configuration configuration,
      Collection<CapacityClaim> claims,
      long nowMillis,
      long wallMillis) {
    Set<JobId> guaranteed = guaranteedJobs(jobs, configuration);
    List<PlanView.PendingStep> pendingSteps = new ArrayList<>();
    for (Job job : jobs) {
      if (!job.phase().isEnded()) {
        addPendingSteps(pendingSteps, job, guaranteed, workerStates, nowMillis, wallMillis);
      }
    }
    suspectWaits.endPass();
    List<PlanView.WorkerView> workers = new ArrayList<>();
    for (WorkerState workerState : workerStates) {
      if (workerState.info() != null && workerState.isUsable(nowMillis)) {
        workers.add(workerView(workerState, jobsById, nowMillis));
      }
    }
    long urgentReserve =
        urgentDemand.updateHeadroom(
            urgentInUse(workerStates, jobsById) + urgentPending(pendingSteps), nowMillis);
    return new PlanView(
        nowMillis,
        workers,
        pendingSteps,
        runningTaskViews.build(workerStates, jobsById, guaranteed, nowMillis, wallMillis),
        urgentReserve,
        List.copyOf(claims),
        organisationShares(pendingSteps, workerStates, jobsById, configuration),
        policy.has(Feature.STOP_HISTORY)
            ? stopLimiter.limits(workerStates, pendingSteps, jobsById, nowMillis)
            : PlanView.StopLimits.NONE);
  }

  /** Returns the urgent jobs that the guarantees of their organisations cover, oldest first. */
  private static Set<JobId> guaranteedJobs(Collection<Job> jobs, Configuration configuration) {
    List<Job> urgent = new ArrayList<>();
    for (Job job : jobs) {
      if (!job.phase().isEnded() && job.submission().terms().priority() == 0) {
        urgent.add(job);
      }
    }
    urgent.sort(Comparator.comparingLong(job -> job.submission().acceptedAtMillis()));
    Map<String, Long> used = new HashMap<>();
    Set<JobId> covered = new HashSet<>();
    for (Job job : urgent) {
      Submission submission = job.submission();
      long need = 0;
      for (StepSpec step : submission.request().steps()) {
        need = Math.max(need, step.count() * step.need().accelerators());
      }
      long total = used.merge(submission.organisation(), need, Long::sum);
      if (total <= configuration.guaranteedAccelerators(submission.organisation())) {
        covered.add(submission.id());
      }
    }
    return covered;
  }

  private static Map<String, PlanView.OrganisationShare> organisationShares(
      List<PlanView.PendingStep> pendingSteps,
      Collection<WorkerState> workerStates,
      Map<JobId, Job> jobsById,
      Configuration configuration) {
    Map<String, Long> inUse = new HashMap<>();
    pendingSteps.forEach(pending -> inUse.put(pending.job().organisation(), 0L));
    for (WorkerState workerState : workerStates) {
      for (Attempt attempt : workerState.attempts()) {
        Job job = jobsById.get(attempt.key().task().job());
        if (job != null) {
          inUse.merge(job.submission().organisation(), attempt.held().accelerators(), Long::sum);
        }
      }
    }
    Map<String, PlanView.OrganisationShare> shares = new HashMap<>();
    inUse.forEach(
        (name, used) ->
            shares.put(
                name,
                new PlanView.OrganisationShare(configuration.guaranteedAccelerators(name), used)));
    return shares;
  }

  private void addPendingSteps(
      List<PlanView.PendingStep> pendingSteps,
      Job job,
      Set<JobId> guaranteed,
      Collection<WorkerState> workerStates,
      long nowMillis,
      long wallMillis) {
    for (Occurrence occurrence : job.openOccurrences()) {
      for (StepProgress step : occurrence.steps()) {
        List<Integer> tasks = waitingTasks(step);
        boolean complete = !step.spec().gang() || tasks.size() == step.tasks().size();
        if (tasks.isEmpty() || !complete || !occurrence.isReady(step)) {
          continue;
        }
        pendingSteps.add(
            pendingStep(
                job,
                occurrence,
                step,
                tasks,
                guaranteed.contains(job.submission().id()),
                suspectWaits.find(step, tasks, nowMillis),
                workerStates,
                nowMillis - wallMillis));
      }
    }
  }

  /**
   * Returns the view of a step of which the given tasks wait.
   *
   * @param steadyMinusWall steady time less wall-clock time
   */
  PlanView.PendingStep pendingStep(
      Job job,
      Occurrence occurrence,
      StepProgress step,
      List<Integer> tasks,
      boolean guaranteed,
      PlanView.Suspects suspects,
      Collection<WorkerState> workerStates,
      long steadyMinusWall) {
    Submission submission = job.submission();
    long due = submission.request().schedule().dueMillis(occurrence.number());
    long waitingSince = (due > 0 ? due : submission.acceptedAtMillis()) + steadyMinusWall;
    long objective = durationEstimator.objectiveMillis(submission);
    Set<WorkerId> excludedWorkers = workersOutside(submission, workerStates);
    step.tasks().forEach(task -> excludedWorkers.addAll(task.failedOn()));
    return new PlanView.PendingStep(
        step.id(),
        step.spec(),
        queueServices.serviceOf(submission),
        tasks,
        submission.terms().priority(),
        guaranteed,
        waitingSince,
        waitingSince + objective,
        waitingSince + Submission.Terms.EXPIRY_FACTOR * objective,
        durationEstimator.taskMillis(submission, step.spec()),
        durationEstimator.criticalPathMillis(submission, step.id().step()),
        excludedWorkers,
        suspects,
        new PlanView.JobView(submission.organisation(), durationEstimator.coreSeconds(submission)));
  }

  /** Returns the workers outside the regions in which a job may run. */
  private Set<WorkerId> workersOutside(
      Submission submission, Collection<WorkerState> workerStates) {
    Set<WorkerId> outside = new HashSet<>();
    List<String> allowed = submission.terms().allowedRegions();
    if (allowed.isEmpty()) {
      return outside;
    }
    for (WorkerState worker : workerStates) {
      boolean permitted =
          worker.hasInfo()
              && AllowedRegions.permit(
                  allowed, worker.info().dataCentre(), policy.regionsByDataCentre());
      if (!permitted) {
        outside.add(worker.id());
      }
    }
    return outside;
  }

  private static List<Integer> waitingTasks(StepProgress step) {
    List<Integer> tasks = new ArrayList<>();
    for (int i = 0; i < step.tasks().size(); i++) {
      if (step.tasks().get(i).state() == TaskProgress.State.WAITING) {
        tasks.add(i);
      }
    }
    return tasks;
  }

  private static int priority(Attempt attempt, Map<JobId, Job> jobsById) {
    Job job = jobsById.get(attempt.key().task().job());
    return job == null ? Integer.MAX_VALUE : job.submission().terms().priority();
  }

  private static long urgentInUse(Collection<WorkerState> workerStates, Map<JobId, Job> jobsById) {
    long used = 0;
    for (WorkerState workerState : workerStates) {
      for (Attempt attempt : workerState.attempts()) {
        used += priority(attempt, jobsById) == 0 ? attempt.held().accelerators() : 0;
      }
    }
    return used;
  }

  private static long urgentPending(List<PlanView.PendingStep> pendingSteps) {
    return pendingSteps.stream()
        .filter(step -> step.priority() == 0)
        .mapToLong(step -> step.tasks().size() * step.spec().reserved().accelerators())
        .sum();
  }

  private static long preemptibleAccelerators(WorkerState workerState, Map<JobId, Job> jobsById) {
    long accelerators = 0;
    for (Attempt attempt : workerState.attempts()) {
      Job job = jobsById.get(attempt.key().task().job());
      boolean preemptibleWithoutLoss =
          job != null
              && !attempt.isStopRequested()
              && job.submission().terms().priority() > 0
              && job.submission()
                  .request()
                  .steps()
                  .get(attempt.key().task().step().step())
                  .checkpoints();
      accelerators += preemptibleWithoutLoss ? attempt.held().accelerators() : 0;
    }
    return accelerators;
  }

  private static Capacity limit(WorkerState workerState, Capacity free) {
    return workerState.restraint().limit(free, workerState.info().capacity());
  }

  private PlanView.WorkerView workerView(
      WorkerState workerState, Map<JobId, Job> jobsById, long nowMillis) {
    return new PlanView.WorkerView(
        workerState.id(),
        workerState.info().service(),
        workerState.info().rack(),
        Set.copyOf(workerState.info().labels()),
        workerState.info().capacity(),
        limit(workerState, workerState.free()),
        limit(workerState, workerState.freeAfterStops(nowMillis, maxStopMillis)),
        workerState.tasksByStep(),
        preemptibleAccelerators(workerState, jobsById),
        workerState.restraint().consecutiveFailures(),
        workerState.isolatedFor(nowMillis),
        speeds.slowdown(workerState)
            * (workerState.info().coldMillis() > 0 ? policy.coldFactor() : 1));
  }
}
