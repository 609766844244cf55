package org.peridotroute.scheduler.conduct;

/** What is held against a worker. */
public enum EvidenceKind {
  /** It refused starts. */
  REFUSAL,
  /** Runs failed on it that do not fail elsewhere. */
  FAILURE,
  /** It stopped replying. */
  SILENCE,
  /** It came back after a silence or a restart. */
  FLAP,
  /** Runs progressed far more slowly on it than on its peers. */
  SLOWNESS
}
