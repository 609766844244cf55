package org.peridotroute.bench.fuzz;

/** Defects that tests inject into the system to show that the oracle detects them. */
public enum InjectedDefect {
  /** No defect. */
  NONE,
  /** The policy places every job as guaranteed, so that nothing can be reclaimed. */
  NO_RECLAIM,
  /** A member that its worker does not hold counts as running, and the others are renewed. */
  IGNORE_LOST_MEMBERS,
  /**
   * An answer is accepted as the answer to any call, since it is labelled with the call's token.
   */
  UNLABELLED_ANSWERS,
  /** Members are started as soon as they are prepared, before the start is logged. */
  START_BEFORE_LOG,
  /** A task that its worker does not hold is prepared and started there again. */
  RESTART_LOST_TASKS,
  /** The planner ignores which workers are leaving. */
  IGNORE_LEAVING,
  /** A planned stop drops the records that are queued for the log. */
  STOP_DROPS_RING,
  /** A replaced VM reports ready before it has read the configuration stream to its end. */
  READY_TOO_EARLY,
  /** Drivers do not log the release of accelerators. */
  DROP_RELEASES
}
