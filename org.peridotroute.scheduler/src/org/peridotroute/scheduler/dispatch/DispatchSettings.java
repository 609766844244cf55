package org.peridotroute.scheduler.dispatch;

import org.peridotroute.scheduler.model.PolicySettings;

/**
 * Timing settings of a planner. All times are in milliseconds.
 *
 * @param leaseMillis lease granted to the runs on a worker; the longest that workers accept, so
 *     that runs survive a log outage and a planner takeover
 * @param pollWaitMillis how long a worker may hold a poll until a run ends
 * @param callTimeoutMillis timeout of a start or stop call
 * @param renewMillis longest time between two records of the planner
 * @param maxUnconfirmedMillis time without a confirmation by the log after which leases are not
 *     extended
 * @param reclaimMillis time within which guaranteed capacity must be in use by its owner again
 * @param stopMillis longest time that stopping a task takes
 * @param farFactor factor by which a task takes longer away from its data or its gang's rack
 * @param heartbeatMillis time between two heartbeats of a worker
 * @param linkBytesPerSecond capacity of this VM's network link
 * @param policy optional policies
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
    long heartbeatMillis,
    long linkBytesPerSecond,
    PolicySettings policy) {
  /**
   * Factor by which a worker's clock may run slow: the bound given by the worker interface plus a
   * margin.
   */
  private static final double MAX_CLOCK_SLOWDOWN = 1.025;

  /** Margin added to the end of a lease for calls in flight. */
  private static final long LEASE_MARGIN_MILLIS = 300;

  /**
   * Renewal intervals for which an append reply proves that the term is in force; one fewer than a
   * successor must miss before it takes over.
   */
  private static final long PROOF_RENEWALS = 3;

  /**
   * Time that all starts under way may occupy the link; a fraction of the timeout of a call, so
   * that starts, renewals and appends get their replies in time.
   */
  private static final long MAX_START_LINK_MILLIS = 150;

  private static final long MILLIS_PER_SECOND = 1_000;

  /** Creates settings without optional policies. */
  public DispatchSettings(
      long leaseMillis,
      long pollWaitMillis,
      long callTimeoutMillis,
      long renewMillis,
      long maxUnconfirmedMillis,
      long reclaimMillis,
      long stopMillis,
      double farFactor,
      long heartbeatMillis,
      long linkBytesPerSecond) {
    this(
        leaseMillis,
        pollWaitMillis,
        callTimeoutMillis,
        renewMillis,
        maxUnconfirmedMillis,
        reclaimMillis,
        stopMillis,
        farFactor,
        heartbeatMillis,
        linkBytesPerSecond,
        PolicySettings.NONE);
  }

  /** Returns the bytes of starts that may be under way at once. */
  public long maxStartBytesInFlight() {
    return linkBytesPerSecond * MAX_START_LINK_MILLIS / MILLIS_PER_SECOND;
  }

  /** Returns the age up to which an append reply proves that no other planner has taken over. */
  public long maxProofAgeMillis() {
    return PROOF_RENEWALS * renewMillis;
  }

  /**
   * Returns the time after sending a call by which the lease that it granted has certainly expired.
   */
  public long leaseExpiryMillis() {
    return expiryMillis(leaseMillis);
  }

  /**
   * Returns the time after sending a call by which a lease that it granted has certainly expired.
   *
   * @param leaseMillis length of the lease
   */
  static long expiryMillis(long leaseMillis) {
    return (long) (leaseMillis * MAX_CLOCK_SLOWDOWN) + LEASE_MARGIN_MILLIS;
  }
}
