package org.peridotroute.bench.fuzz;

/** What must always hold, each checked by the oracle. */
public enum Invariant {
  /** An organisation's guaranteed shape can always be reclaimed. */
  GUARANTEE_RECLAIMABLE,
  /** No gang runs with only some of its members for longer than the stated bound. */
  GANG_WHOLE,
  /** A caller gets the whole answer to its own request and never another's. */
  OWN_WHOLE_ANSWER,
  /** A job that was told as not run did not run. */
  NOT_RUN_IS_TRUE,
  /** A non-idempotent job runs at most once. */
  AT_MOST_ONCE,
  /** A worker that is seen to leave gets no new work. */
  LEAVING_GETS_NOTHING,
  /** A planned stop of a VM cuts nothing. */
  PLANNED_STOP_CUTS_NOTHING,
  /** Accepted configuration is in force everywhere and never goes back. */
  CONFIG_NEVER_REVERTS,
  /** No accepted job is lost: each ends. */
  NOTHING_LOST
}
