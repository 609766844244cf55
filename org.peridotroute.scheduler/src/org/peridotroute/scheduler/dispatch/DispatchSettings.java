package org.peridotroute.scheduler.dispatch;

/**
 * Times of a planner. All in milliseconds.
 *
 * @param leaseMillis lease given to what runs on a worker; the longest that workers grant, so that
 *     work outlives an outage and a takeover
 * @param pollWaitMillis how long a worker may hold a look until something ends
 * @param callTimeoutMillis longest wait for the answer to an order
 * @param renewMillis longest time between two records of the planner
 * @param maxUnconfirmedMillis time without an answer of the log after which leases are not extended
 * @param reclaimMillis time within which guaranteed room must be in use again
 * @param stopMillis longest time that a stop takes
 * @param farFactor how much longer a task takes away from its data or its gang's rack
 * @param heartbeatMillis time between two heartbeats of a worker
 */
public record DispatchSettings(
    long leaseMillis,
    long pollWaitMillis,
    long callTimeoutMillis,
    long renewMillis,
    long maxUnconfirmedMillis,
    long reclaimMillis,
    long stopMillis,
    double farFactor,
    long heartbeatMillis) {
  /** Parts by which a worker's clock may be slow, from the users' interface; with some spare. */
  private static final double SLOWEST_CLOCK = 1.025;

  /** Time added to a lease's end for calls under way. */
  private static final long LEASE_MARGIN_MILLIS = 300;

  /** Signs of life for whose time an answer proves the term; one less than a successor misses. */
  private static final long PROOF_SIGNS = 3;

  /** Returns the age up to which the log's answer proves that nobody else has taken over. */
  public long maxProofAgeMillis() {
    return PROOF_SIGNS * renewMillis;
  }

  /** Returns the time after an order was sent by which its lease has run out for certain. */
  public long leaseExpiryMillis() {
    return (long) (leaseMillis * SLOWEST_CLOCK) + LEASE_MARGIN_MILLIS;
  }
}
