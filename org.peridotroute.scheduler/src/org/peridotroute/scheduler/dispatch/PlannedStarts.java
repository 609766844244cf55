package org.peridotroute.scheduler.dispatch;

import java.util.List;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.StepProgress;

/** Sends the starts of attempts once their assignments are on the log. */
final class PlannedStarts {
  private final WorkerManager workerManager;
  private final Time time;

  PlannedStarts(WorkerManager workerManager, Time time) {
    this.workerManager = workerManager;
    this.time = time;
  }

  /** An attempt and the worker that it is assigned to. */
  record Planned(WorkerState workerState, Attempt attempt) {}

  /**
   * Sends the starts of a step, or withdraws those that have become impossible meanwhile; all of a
   * gang if one of them has.
   */
  void send(Job job, StepProgress step, List<Planned> plannedAttempts) {
    long now = time.steadyMillis();
    boolean allUsable =
        plannedAttempts.stream()
            .map(Planned::workerState)
            .allMatch(worker -> worker.isUsable(now) && !worker.isOvercommitted());
    boolean gangComplete = !step.spec().gang() || allUsable;
    for (Planned planned : plannedAttempts) {
      if (planned.attempt().isEnded()) {
        continue;
      }
      if (job.phase().isEnded() || planned.attempt().isStopRequested()) {
        workerManager.withdraw(
            planned.workerState(), planned.attempt(), "the job ended before the start was sent");
      } else if (!gangComplete || !planned.workerState().isUsable(now)) {
        workerManager.withdraw(
            planned.workerState(), planned.attempt(), "an assigned worker is no longer usable");
      } else {
        String checkpoint = step.tasks().get(planned.attempt().key().task().index()).checkpoint();
        workerManager
            .runCalls()
            .sendStart(
                planned.workerState(),
                planned.attempt(),
                new StartParameters(
                    job.submission().request().payload(),
                    checkpoint,
                    job.submission().terms().priority()));
      }
    }
  }
}
