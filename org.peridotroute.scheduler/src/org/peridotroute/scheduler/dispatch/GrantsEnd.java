package org.peridotroute.scheduler.dispatch;

/**
 * When the planners of earlier terms stop extending leases.
 *
 * @param millis steady time from which none of them extends the lease of any worker
 * @param leavingMillis steady time from which none of them extends the lease of a worker whose
 *     stored record says that it leaves; not later than {@code millis}
 */
public record GrantsEnd(long millis, long leavingMillis) {}
