package org.peridotroute.scheduler.dispatch;

import java.util.Map;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.plan.PlacementDecision;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.StepProgress;
import org.peridotroute.scheduler.table.TaskProgress;

/**
 * Requests the stops of runs. The calls to the workers follow at the next tick of the worker
 * manager.
 */
final class RunStopper {
  private final WorkerManager workerManager;
  private final Time time;

  RunStopper(WorkerManager workerManager, Time time) {
    this.workerManager = workerManager;
    this.time = time;
  }

  /** Stops a run for a more urgent step; all members if the run belongs to a gang. */
  void preempt(PlacementDecision.Preempt decision, StepProgress step) {
    if (step.spec().gang()) {
      stopAll(step, decision.run(), decision.beneficiary());
    } else {
      stop(step, decision.task().index(), decision.run(), decision.beneficiary());
    }
  }

  /** Stops the tasks of a step that run with the given number. */
  void stopStep(StepProgress step, int run) {
    stopAll(step, run, null);
  }

  /** Stops a run whose worker leaves. */
  void move(StepProgress step, int index, int run) {
    Attempt attempt = find(step, index, run);
    if (attempt != null && !attempt.isStopRequested()) {
      attempt.markMoved();
      attempt.requestStop(time.steadyMillis());
    }
  }

  private void stopAll(StepProgress step, int run, StepId beneficiary) {
    for (int i = 0; i < step.tasks().size(); i++) {
      stop(step, i, run, beneficiary);
    }
  }

  private void stop(StepProgress step, int index, int run, StepId beneficiary) {
    Attempt attempt = find(step, index, run);
    if (attempt == null) {
      return;
    }
    if (beneficiary != null && !attempt.isStopRequested()) {
      attempt.markPreempted(beneficiary);
    }
    attempt.requestStop(time.steadyMillis());
  }

  /** Returns the attempt of a run, or null if it is not the current run of its task. */
  private Attempt find(StepProgress step, int index, int run) {
    TaskProgress task = step.tasks().get(index);
    return task.state() == TaskProgress.State.ASSIGNED && task.run() == run
        ? workerManager
            .getOrCreate(task.worker())
            .attemptsByKey()
            .get(new Attempt.Key(new TaskId(step.id(), index), run))
        : null;
  }

  /**
   * Stops the runs that should not go on, whoever decided so and whenever. A stop that was
   * requested when a run was not known, or by a planner that has ended since, is made up for here.
   * A run is stopped if two reviews in a row find it, since one may have ended without its report
   * being here.
   */
  void stopUnwanted(Map<JobId, Job> jobs) {
    for (WorkerState workerState : workerManager.workers()) {
      for (Attempt attempt : workerState.attempts()) {
        Job job = jobs.get(attempt.key().task().job());
        boolean wanted = WantedRuns.isWanted(job, attempt.key(), workerState.id());
        if (!wanted && attempt.isUnwanted()) {
          attempt.requestStop(time.steadyMillis());
        }
        attempt.setUnwanted(!wanted);
      }
    }
  }

  /** Stops all runs of a job. */
  void stopRuns(Job job) {
    for (WorkerState workerState : workerManager.workers()) {
      for (Attempt attempt : workerState.attempts()) {
        if (attempt.key().task().job().equals(job.submission().id())) {
          attempt.requestStop(time.steadyMillis());
        }
      }
    }
  }
}
