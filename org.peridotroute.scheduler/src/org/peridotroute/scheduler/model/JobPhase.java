package org.peridotroute.scheduler.model;

/** Phase of a job as reported to callers. */
public enum JobPhase {
  /** Accepted; no task has started. */
  PENDING,
  /** At least one task has started. */
  RUNNING,
  /** All tasks have succeeded. */
  COMPLETED,
  /** A task, or a gang as a whole, has failed as often as its queue allows. */
  FAILED,
  /** Cancelled by its caller. */
  CANCELLED;

  /** Returns whether the phase is final. */
  public boolean isEnded() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
