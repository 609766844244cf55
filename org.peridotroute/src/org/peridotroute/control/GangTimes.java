package org.peridotroute.control;

import org.peridotroute.lib.Checks;

/**
 * Times of gangs.
 *
 * @param leaseMillis lease of each member, counted by the worker from receipt
 * @param renewMillis time between two rounds of renewal
 * @param driftMarginMillis added to a lease before its accelerators count as free, for clocks that
 *     run at different speeds and for messages on their way
 * @param prepareTimeoutMillis how long all members may take to be prepared
 * @param retryMillis time before a command that got no answer is sent again
 */
public record GangTimes(
    long leaseMillis,
    long renewMillis,
    long driftMarginMillis,
    long prepareTimeoutMillis,
    long retryMillis) {
  /** Checks that several renewals fit into a lease. */
  public GangTimes {
    Checks.range("gang.renewMillis", renewMillis, 1, leaseMillis / 2);
    Checks.range("gang.retryMillis", retryMillis, 1, leaseMillis / 2);
    Checks.range("gang.driftMarginMillis", driftMarginMillis, 0, leaseMillis);
    Checks.range("gang.prepareTimeoutMillis", prepareTimeoutMillis, 1, Long.MAX_VALUE);
  }

  /** Returns the time after the last renewal was sent at which a lease has certainly lapsed. */
  public long lapseMillis() {
    return leaseMillis + driftMarginMillis;
  }
}
