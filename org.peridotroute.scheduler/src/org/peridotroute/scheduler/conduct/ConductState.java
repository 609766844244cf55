package org.peridotroute.scheduler.conduct;

/** How far a worker is trusted with new work. Declared in the order in which work prefers them. */
public enum ConductState {
  /** Nothing is held against the worker. */
  SOUND,
  /** There is some evidence against the worker; others get work first. */
  DOUBTFUL,
  /** The worker has left quarantine and gets little work. */
  ON_TRIAL,
  /** The worker gets no new work for a while. */
  QUARANTINED
}
