package org.peridotroute.bench.fuzz;

/** A defect put in on purpose, to show that the oracle catches it. */
public enum InjectedDefect {
  /** Nothing is wrong. */
  NONE,
  /** The policy treats all room as guaranteed, so that nothing can be reclaimed. */
  NO_RECLAIM,
  /** A member whose worker no longer knows it counts as running, and the others are renewed. */
  IGNORE_LOST_MEMBERS,
  /** Answers of workers carry whatever label the reader expects. */
  UNLABELLED_ANSWERS,
  /** Members are started as soon as they are prepared, before the start is on the log. */
  START_BEFORE_LOG,
  /** A task that a worker no longer knows is loaded and started there again. */
  RESTART_LOST_TASKS,
  /** The planner does not look at who is leaving. */
  IGNORE_LEAVING,
  /** A planned stop drops what waits in the rings. */
  STOP_DROPS_RING,
  /** A replaced VM says that it is ready before it has read the configuration to its end. */
  READY_TOO_EARLY,
  /** Drivers do not log that accelerators were given back. */
  DROP_RELEASES
}
