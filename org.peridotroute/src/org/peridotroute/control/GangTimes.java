package org.peridotroute.control;

import org.peridotroute.lib.Checks;

/**
 * Lease, renewal and retry intervals of gangs, in milliseconds.
 *
 * @param leaseMillis lease duration of each member, counted by the worker from receipt
 * @param renewMillis maximum time between two renewal rounds
 * @param driftMarginMillis time added to a lease before its accelerators count as free, to cover
 *     clock drift and messages in transit
 * @param prepareTimeoutMillis timeout for preparing all members
 * @param retryMillis minimum time between two commands to the same member
 */
public record GangTimes(
    long leaseMillis,
    long renewMillis,
    long driftMarginMillis,
    long prepareTimeoutMillis,
    long retryMillis) {
  /** Checks that at least two renewals and two retries fit into a lease. */
  public GangTimes {
    Checks.range("gang.renewMillis", renewMillis, 1, leaseMillis / 2);
    Checks.range("gang.retryMillis", retryMillis, 1, leaseMillis / 2);
    Checks.range("gang.driftMarginMillis", driftMarginMillis, 0, leaseMillis);
    Checks.range("gang.prepareTimeoutMillis", prepareTimeoutMillis, 1, Long.MAX_VALUE);
  }

  /** Returns the time since the last renewal was sent after which a lease has surely expired. */
  public long leaseExpiryMillis() {
    return leaseMillis + driftMarginMillis;
  }
}
