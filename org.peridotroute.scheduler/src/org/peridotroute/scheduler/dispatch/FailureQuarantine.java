package org.peridotroute.scheduler.dispatch;

import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;

/** Keeps new work off a worker for a while after failures in a row or a refused start. */
final class FailureQuarantine implements WorkerHealth {
  /** Consecutive failures after which a worker gets no new work for a while. */
  private static final int QUARANTINE_AFTER_FAILURES = 2;

  private static final long QUARANTINE_MILLIS = 4_000;

  /** Time for which a worker that refused a start gets no new work. */
  static final long REFUSAL_QUARANTINE_MILLIS = 1_500;

  private final Time time;

  FailureQuarantine(Time time) {
    this.time = time;
  }

  @Override
  public void onRunEnded(WorkerState worker, Attempt attempt, RunEnd end) {
    Restraint restraint = worker.restraint();
    if (end == RunEnd.DONE) {
      restraint.resetFailures();
    } else if (end == RunEnd.FAILED) {
      boolean failedRepeatedly = restraint.consecutiveFailures() + 1 >= QUARANTINE_AFTER_FAILURES;
      restraint.quarantine(failedRepeatedly ? time.steadyMillis() + QUARANTINE_MILLIS : 0);
    }
  }

  @Override
  public void onStartRefused(WorkerState worker) {
    worker.restraint().quarantine(time.steadyMillis() + REFUSAL_QUARANTINE_MILLIS);
  }
}
