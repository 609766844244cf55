package org.peridotroute.bench.fuzz;

/** Invariants of the system, each checked by the {@link Oracle}. */
public enum Invariant {
  /** An organisation's guaranteed shape can always be reclaimed. */
  GUARANTEE_RECLAIMABLE,
  /** No gang runs with only some of its members for longer than the stated bound. */
  GANG_WHOLE,
  /** A caller gets the complete answer to its own request and never another caller's. */
  OWN_WHOLE_ANSWER,
  /** A job that was reported as not run did not run. */
  NOT_RUN_IS_TRUE,
  /** A non-idempotent job runs at most once. */
  AT_MOST_ONCE,
  /** A worker that is known to be leaving gets no new work. */
  LEAVING_GETS_NOTHING,
  /** A planned stop of a VM loses no proposed record. */
  PLANNED_STOP_CUTS_NOTHING,
  /** Accepted configuration takes effect on every VM and never reverts. */
  CONFIG_NEVER_REVERTS,
  /** Every accepted job ends, and its accelerators are released. */
  NOTHING_LOST
}
