package org.peridotroute.scheduler.dispatch;

import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.StepProgress;

/** Decides from the progress of jobs which runs should exist. Stateless. */
final class WantedRuns {
  private WantedRuns() {}

  /**
   * Returns whether a run should go on: its job has not ended, it is the current run of its task,
   * and its gang is complete if it belongs to one.
   *
   * @param job job of the run, null if there is none
   * @param key identity of the run
   * @param worker worker that has the run
   */
  static boolean isWanted(Job job, Attempt.Key key, WorkerId worker) {
    if (job == null || job.phase().isEnded()) {
      return false;
    }
    StepProgress step = job.step(key.task()).orElse(null);
    return step != null
        && step.tasks().get(key.task().index()).isAssigned(key.run(), worker)
        && (!step.spec().gang() || step.isFullyAssigned());
  }
}
