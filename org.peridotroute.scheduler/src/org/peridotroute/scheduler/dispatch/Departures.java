package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.plan.DepartureMoves;
import org.peridotroute.scheduler.plan.PlacementDecision;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.Occurrence;
import org.peridotroute.scheduler.table.StepProgress;
import org.peridotroute.scheduler.table.TaskProgress;

/**
 * Stops runs that save checkpoints on workers that have announced their end, so that they go on
 * elsewhere instead of being lost. A run is stopped once, so it moves once for one cause. Confined
 * to the control thread.
 */
final class Departures {
  private final PlanViewBuilder viewBuilder;
  private final RunStopper runStopper;
  private final DispatchEvents dispatchEvents;
  private final DepartureMoves moves;

  /** The last run before the move of each task that has not started elsewhere yet. */
  private final Map<TaskId, Integer> movingRuns = new HashMap<>();

  Departures(
      PlanViewBuilder viewBuilder,
      RunStopper runStopper,
      DispatchEvents dispatchEvents,
      long stopMillis) {
    this.viewBuilder = viewBuilder;
    this.runStopper = runStopper;
    this.dispatchEvents = dispatchEvents;
    moves = new DepartureMoves(stopMillis);
  }

  /**
   * Stops the runs that should move now.
   *
   * @param view the view of the pass
   * @param decisions what the pass has decided
   */
  void moveRuns(
      PlanView view,
      List<PlacementDecision> decisions,
      Collection<WorkerState> workerStates,
      Map<JobId, Job> jobsById,
      long wallMillis) {
    movingRuns.entrySet().removeIf(entry -> !isMoving(entry.getKey(), entry.getValue(), jobsById));
    List<DepartureMoves.Leaving> leaving = new ArrayList<>();
    for (WorkerState worker : workerStates) {
      long leaveMillis = worker.announcedEndMillis() - view.nowMillis();
      if (!worker.hasInfo() || !worker.info().draining()) {
        continue;
      }
      for (Attempt attempt : worker.attempts()) {
        Job job = jobsById.get(attempt.key().task().job());
        if (job == null || !mayMove(job, attempt)) {
          continue;
        }
        add(leaving, workerStates, job, attempt, leaveMillis, view.nowMillis(), wallMillis);
      }
    }
    if (leaving.isEmpty()) {
      return;
    }
    for (DepartureMoves.Leaving runs : moves.select(view, decisions, leaving, movingRuns.size())) {
      stop(runs, jobsById);
    }
  }

  /** Returns whether a run can be stopped without loss. Suspect tasks stay where they are. */
  private static boolean mayMove(Job job, Attempt attempt) {
    StepSpec spec = job.submission().request().steps().get(attempt.key().task().step().step());
    return attempt.isCurrent()
        && attempt.state() == Attempt.State.RUNNING
        && !attempt.isStopRequested()
        && !attempt.isSuspect()
        && spec.checkpoints()
        && !spec.service();
  }

  private void add(
      List<DepartureMoves.Leaving> leaving,
      Collection<WorkerState> workerStates,
      Job job,
      Attempt attempt,
      long leaveMillis,
      long nowMillis,
      long wallMillis) {
    TaskId task = attempt.key().task();
    for (Occurrence occurrence : job.openOccurrences()) {
      if (occurrence.number() != task.step().occurrence()) {
        continue;
      }
      StepProgress step = occurrence.steps().get(task.step().step());
      List<Integer> tasks = new ArrayList<>();
      for (int i = 0; i < step.tasks().size(); i++) {
        if (step.spec().gang() || i == task.index()) {
          tasks.add(i);
        }
      }
      PlanView.PendingStep pending =
          viewBuilder.pendingStep(
              job,
              occurrence,
              step,
              tasks,
              false,
              PlanView.Suspects.NONE,
              workerStates,
              nowMillis - wallMillis);
      leaving.add(
          new DepartureMoves.Leaving(
              pending, leaveMillis, attempt.remainingMillis(pending.durationMillis(), nowMillis)));
    }
  }

  private void stop(DepartureMoves.Leaving runs, Map<JobId, Job> jobsById) {
    PlanView.PendingStep pending = runs.step();
    Job job = jobsById.get(pending.step().job());
    for (int index : pending.tasks()) {
      TaskId task = new TaskId(pending.step(), index);
      StepProgress step = job.step(task).orElseThrow();
      int run = step.tasks().get(index).run();
      movingRuns.put(task, run);
      runStopper.move(step, index, run);
      dispatchEvents.onMoved(task, run, runs);
    }
  }

  /** Returns whether a task that was stopped has not been assigned again yet. */
  private static boolean isMoving(TaskId task, int run, Map<JobId, Job> jobsById) {
    Job job = jobsById.get(task.job());
    if (job == null || job.phase().isEnded()) {
      return false;
    }
    TaskProgress progress = job.step(task).map(step -> step.tasks().get(task.index())).orElse(null);
    return progress != null && progress.state() != TaskProgress.State.DONE && progress.run() == run;
  }
}
