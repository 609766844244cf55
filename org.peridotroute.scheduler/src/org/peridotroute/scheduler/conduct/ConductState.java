package org.peridotroute.scheduler.conduct;

/** How far a worker is trusted with new work. */
public enum ConductState {
  /** Nothing is held against the worker. */
  SOUND(0),
  /** There is some evidence against the worker; others get work first. */
  DOUBTFUL(1),
  /** The worker has left quarantine and gets little work. */
  ON_TRIAL(2),
  /** The worker gets no new work for a while. */
  QUARANTINED(3);

  private final int rank;

  ConductState(int rank) {
    this.rank = rank;
  }

  /** Returns the rank in the order in which work prefers workers, 0 for the best. */
  public int rank() {
    return rank;
  }
}
