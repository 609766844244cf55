package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.PolicySettings;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.plan.PlanView.Usefulness;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.StepProgress;
import org.peridotroute.scheduler.table.TaskProgress;

/** Builds the view of the running tasks that a pass may preempt. */
final class RunningTaskViews {
  private final DurationEstimator durationEstimator;
  private final SpeedEstimates speeds;
  private final PolicySettings policy;
  private final StopHistory stopHistory;
  private final long restartMillis;

  /**
   * Creates the builder.
   *
   * @param restartMillis time from the decision to stop a run to its earliest next start
   */
  RunningTaskViews(
      DurationEstimator durationEstimator,
      SpeedEstimates speeds,
      PolicySettings policy,
      StopHistory stopHistory,
      long restartMillis) {
    this.durationEstimator = durationEstimator;
    this.speeds = speeds;
    this.policy = policy;
    this.stopHistory = stopHistory;
    this.restartMillis = restartMillis;
  }

  /** Expectations that the running tasks of a step share, in steady time. */
  private record StepOutlook(
      boolean hasTasksToRestart,
      long taskMillis,
      long followingMillis,
      long objectiveMillis,
      long expiryMillis) {
    Usefulness usefulness(long taskEndMillis) {
      long endMillis = taskEndMillis + followingMillis;
      if (endMillis <= objectiveMillis) {
        return Usefulness.ON_TIME;
      }
      return endMillis <= expiryMillis ? Usefulness.LATE : Usefulness.NONE;
    }
  }

  List<PlanView.RunningTask> build(
      Collection<WorkerState> workerStates,
      Map<JobId, Job> jobsById,
      Set<JobId> guaranteed,
      long nowMillis,
      long wallMillis) {
    List<PlanView.RunningTask> views = new ArrayList<>();
    Map<StepId, StepOutlook> outlooks = new HashMap<>();
    Set<StepId> stopping = stoppingSteps(workerStates);
    Map<StepId, Map<WorkerId, String>> racksByStep = speeds.racksByStep(workerStates);
    for (WorkerState workerState : workerStates) {
      for (Attempt attempt : workerState.attempts()) {
        Job job = jobsById.get(attempt.key().task().job());
        boolean preemptible =
            attempt.isCurrent()
                && !attempt.isStopRequested()
                && attempt.state() != Attempt.State.PLANNED
                && job != null;
        if (!preemptible) {
          continue;
        }
        StepId step = attempt.key().task().step();
        StepSpec spec = job.submission().request().steps().get(step.step());
        if (spec.service()) {
          continue;
        }
        PlanView.RunningTask view =
            view(
                workerState,
                attempt,
                job.submission(),
                spec,
                guaranteed.contains(step.job()),
                spec.gang() ? racksByStep.get(step) : null,
                nowMillis);
        if (policy.has(Feature.STOP_HISTORY)) {
          StepOutlook outlook =
              outlooks.computeIfAbsent(
                  step,
                  key -> outlook(job, key, spec, stopping.contains(key), nowMillis - wallMillis));
          view = withStopEffects(view, spec, outlook, nowMillis);
        }
        views.add(view);
      }
    }
    return views;
  }

  /** Returns the steps of which runs are being stopped, so that their tasks will wait again. */
  private static Set<StepId> stoppingSteps(Collection<WorkerState> workerStates) {
    Set<StepId> steps = new HashSet<>();
    for (WorkerState workerState : workerStates) {
      for (Attempt attempt : workerState.attempts()) {
        if (attempt.isCurrent() && attempt.isStopRequested()) {
          steps.add(attempt.key().task().step());
        }
      }
    }
    return steps;
  }

  private PlanView.RunningTask view(
      WorkerState workerState,
      Attempt attempt,
      Submission submission,
      StepSpec spec,
      boolean guaranteed,
      Map<WorkerId, String> gangRacks,
      long nowMillis) {
    return new PlanView.RunningTask(
        attempt.key().task(),
        attempt.key().run(),
        workerState.id(),
        attempt.held(),
        submission.terms().priority(),
        guaranteed,
        spec.gang(),
        attempt.unsavedMillis(spec.checkpoints(), nowMillis),
        attempt.remainingMillis(
            speeds.expectedMillis(
                durationEstimator.taskMillis(submission, spec), workerState, gangRacks),
            nowMillis));
  }

  private StepOutlook outlook(
      Job job, StepId step, StepSpec spec, boolean stopping, long steadyMinusWall) {
    Submission submission = job.submission();
    long due = submission.request().schedule().dueMillis(step.occurrence());
    long since = (due > 0 ? due : submission.acceptedAtMillis()) + steadyMinusWall;
    long objective = durationEstimator.objectiveMillis(submission);
    long taskMillis = durationEstimator.taskMillis(submission, spec);
    return new StepOutlook(
        stopping || hasWaitingTasks(job, step),
        taskMillis,
        durationEstimator.criticalPathMillis(submission, step.step()) - taskMillis,
        since + objective,
        since + Submission.Terms.EXPIRY_FACTOR * objective);
  }

  private static boolean hasWaitingTasks(Job job, StepId id) {
    return job.openOccurrences().stream()
        .flatMap(occurrence -> occurrence.steps().stream())
        .filter(step -> step.id().equals(id))
        .map(StepProgress::tasks)
        .flatMap(List::stream)
        .anyMatch(task -> task.state() == TaskProgress.State.WAITING);
  }

  /** Adds what a stop would change. A step ends no sooner than its tasks that have to restart. */
  private PlanView.RunningTask withStopEffects(
      PlanView.RunningTask run, StepSpec spec, StepOutlook outlook, long nowMillis) {
    long restoreMillis = spec.checkpoints() ? policy.restoreMillis() : 0;
    long remainingMillis =
        outlook.hasTasksToRestart()
            ? Math.max(run.remainingMillis(), outlook.taskMillis())
            : run.remainingMillis();
    long afterRestartMillis =
        spec.checkpoints()
            ? restoreMillis + run.remainingMillis()
            : Math.max(run.remainingMillis(), outlook.taskMillis());
    return new PlanView.RunningTask(
        run.task(),
        run.run(),
        run.worker(),
        run.held(),
        run.priority(),
        run.guaranteed(),
        run.gang(),
        run.unsavedMillis() + restoreMillis,
        run.remainingMillis(),
        stopHistory.find(run.task()).count(),
        outlook.usefulness(nowMillis + remainingMillis),
        outlook.usefulness(nowMillis + restartMillis + afterRestartMillis));
  }
}
