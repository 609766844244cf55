package org.peridotroute.scheduler.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.port.WorkerGateway.CallOutcome;
import org.peridotroute.scheduler.port.WorkerGateway.PollReply;
import org.peridotroute.scheduler.port.WorkerGateway.Target;

/** State of one worker as known to the planner during one term. */
final class WorkerState {
  private static final long UNKNOWN = -1;

  /**
   * Backward jump of a worker's clock that shows a restart; much larger than the drift between two
   * replies.
   */
  private static final long MIN_CLOCK_JUMP_MILLIS = 1_500;

  /** Time between polls while ends that a worker reported are not on the log yet. */
  private static final long UNSTORED_POLL_MILLIS = 1_000;

  /** Part of a full lease that a worker past its announced end gets, as a divisor. */
  private static final long LEAVING_LEASE_DIVISOR = 2;

  private final WorkerId id;
  private final Map<Attempt.Key, Attempt> attemptsByKey = new LinkedHashMap<>();
  private WorkerInfo info;
  private boolean listed;
  private boolean tokenSeen;
  private long startedAtMillis = UNKNOWN;
  private long clockMillis = -1;
  private long clockAtMillis;
  private long lastSeenEnd;
  private long lastStoredEnd;
  private long acknowledgedEnd;
  private long leasesExpireMillis;
  private boolean pollInFlight;
  private int unansweredCalls;
  private long lastReplyMillis = Long.MIN_VALUE;
  private long nextPollMillis;
  private final Restraint restraint = new Restraint();
  private final LeaseHold leaseHold = new LeaseHold();
  private boolean inClosedDataCentre;
  private boolean serviceInUse;
  private long inheritedStartMillis;
  private long announcedEndMillis = Long.MAX_VALUE;

  WorkerState(WorkerId id, long leasesExpireMillis) {
    this.id = id;
    this.leasesExpireMillis = leasesExpireMillis;
  }

  WorkerId id() {
    return id;
  }

  WorkerInfo info() {
    return info;
  }

  void markListed(WorkerInfo latest, long nowMillis) {
    info = latest;
    listed = true;
    announcedEndMillis =
        latest.draining()
            ? Math.min(announcedEndMillis, nowMillis + latest.remainingMillis())
            : Long.MAX_VALUE;
  }

  /**
   * Adopts what an earlier planner knew of the worker, until the worker is listed.
   *
   * @param grantsEnd when earlier planners stop extending leases
   * @param expiryMillis time after which a lease granted at the latest then has expired
   */
  void inherit(StoredWorkerRecord stored, GrantsEnd grantsEnd, long expiryMillis) {
    WorkerRecord record = stored.record();
    if (record.draining()) {
      long lastGrantMillis = Math.max(stored.readMillis(), grantsEnd.leavingMillis());
      leasesExpireMillis = Math.min(leasesExpireMillis, lastGrantMillis + expiryMillis);
    }
    if (record.isSilent()) {
      leaseHold.hold(record.silentLeaseMillis());
      leasesExpireMillis =
          Math.min(leasesExpireMillis, stored.readMillis() + record.silentLeaseMillis());
    }
    inheritedStartMillis = record.startedAtMillis();
    restraint.save(record.conduct());
    if (info == null) {
      info = record.toInfo();
    }
  }

  /**
   * Returns whether a reply comes from another incarnation than the one that got its runs, from
   * this planner or an earlier one.
   *
   * @param startedAt start of the incarnation that has replied
   */
  boolean isOtherIncarnation(long startedAt) {
    return tokenSeen
        ? startedAt != startedAtMillis
        : inheritedStartMillis > 0 && startedAt > 0 && startedAt != inheritedStartMillis;
  }

  /**
   * Returns the length of the lease to grant now. That of a worker which leaves ends soon after its
   * announced end, because its tasks can start elsewhere only after the lease.
   *
   * @param maxMillis length of the lease of other workers
   */
  long leaseMillis(long maxMillis, long nowMillis) {
    if (!info.draining()) {
      return maxMillis;
    }
    long stayMillis = Math.max(0, announcedEndMillis - nowMillis);
    return Math.min(maxMillis, stayMillis + maxMillis / LEAVING_LEASE_DIVISOR);
  }

  /** Returns the steady time until which the worker stays at least; far off unless it leaves. */
  long announcedEndMillis() {
    return announcedEndMillis;
  }

  void markUnlisted() {
    listed = false;
  }

  boolean isListed() {
    return listed;
  }

  boolean hasInfo() {
    return info != null;
  }

  Target target() {
    return new Target(id.value(), info.address().toString());
  }

  Map<Attempt.Key, Attempt> attemptsByKey() {
    return attemptsByKey;
  }

  Collection<Attempt> attempts() {
    return attemptsByKey.values();
  }

  /** Returns whether the worker may get new work. */
  boolean isUsable(long nowMillis) {
    return listed
        && serviceInUse
        && !inClosedDataCentre
        && tokenSeen
        && !info.draining()
        && unansweredCalls == 0
        && leaseHold.mayExtend()
        && restraint.permits(nowMillis);
  }

  /** Sets whether the data centre of the worker is closed for new work. */
  void setInClosedDataCentre(boolean closed) {
    inClosedDataCentre = closed;
  }

  /** Sets whether the configuration or an open job needs the service of the worker. */
  void setServiceInUse(boolean inUse) {
    serviceInUse = inUse;
  }

  /**
   * Returns whether the planner calls the worker: it has runs, or it is listed and either its
   * service is in use or ends that it has reported are not acknowledged. Entries of other services
   * may come from programs that are no workers.
   */
  boolean isPolled() {
    return info != null
        && (!attemptsByKey.isEmpty()
            || (listed && (serviceInUse || lastSeenEnd > acknowledgedEnd)));
  }

  /** Returns whether the data centre of the worker is closed for new work. */
  boolean isInClosedDataCentre() {
    return inClosedDataCentre;
  }

  /** Returns whether the worker has seen the fencing token of this term. */
  boolean hasSeenToken() {
    return tokenSeen;
  }

  /** Returns the estimated time on the worker's clock, or -1 before the first reply. */
  long clockMillis(long nowMillis) {
    return clockMillis < 0 ? -1 : clockMillis + (nowMillis - clockAtMillis);
  }

  /**
   * Records a reply and the worker's clock in it.
   *
   * @param workerClockMillis the worker's clock, negative if the reply does not contain it
   * @return whether the clock shows that the worker has restarted
   */
  boolean onReplyClock(long workerClockMillis, long nowMillis) {
    unansweredCalls = 0;
    lastReplyMillis = nowMillis;
    if (workerClockMillis < 0) {
      return false;
    }
    boolean restarted =
        clockMillis >= 0 && workerClockMillis + MIN_CLOCK_JUMP_MILLIS < clockMillis(nowMillis);
    if (clockMillis < 0 || restarted || workerClockMillis >= clockMillis) {
      clockMillis = workerClockMillis;
      clockAtMillis = nowMillis;
    }
    return restarted;
  }

  /** Returns the steady time of the last reply, {@code Long.MIN_VALUE} before the first. */
  long lastReplyMillis() {
    return lastReplyMillis;
  }

  void onNoReply() {
    unansweredCalls++;
  }

  int unansweredCalls() {
    return unansweredCalls;
  }

  /**
   * Records that the worker has seen the fencing token of this term. From now on no other planner
   * can extend its leases, so the leases granted by an earlier planner have expired by the given
   * time.
   */
  void markTokenSeen(long startedAt, long expiredByMillis) {
    tokenSeen = true;
    startedAtMillis = startedAt;
    inheritedStartMillis = 0;
    leasesExpireMillis = expiredByMillis;
  }

  long startedAtMillis() {
    return startedAtMillis;
  }

  /**
   * Resets the state of an earlier incarnation of the worker: end numbers, clock and whether it has
   * seen the token.
   */
  void resetIncarnation() {
    lastSeenEnd = 0;
    lastStoredEnd = 0;
    acknowledgedEnd = 0;
    startedAtMillis = UNKNOWN;
    inheritedStartMillis = 0;
    clockMillis = -1;
    tokenSeen = false;
  }

  long lastSeenEnd() {
    return lastSeenEnd;
  }

  void onEndSeen(long number) {
    lastSeenEnd = Math.max(lastSeenEnd, number);
  }

  long lastStoredEnd() {
    return lastStoredEnd;
  }

  void onEndStored(long number, long startedAt) {
    if (startedAt == startedAtMillis) {
      lastStoredEnd = Math.max(lastStoredEnd, number);
    }
  }

  /**
   * Returns the end to acknowledge, or 0 once the worker has received the acknowledgement of
   * everything stored. A number of this incarnation must not reach a later one, which would discard
   * ends of its own.
   */
  long endToAcknowledge() {
    return lastStoredEnd > acknowledgedEnd && unansweredCalls == 0 ? lastStoredEnd : 0;
  }

  /** Records that the worker has replied to a poll that acknowledged an end. */
  void onEndAcknowledged(long number, long startedAt) {
    if (startedAt == startedAtMillis) {
      acknowledgedEnd = Math.max(acknowledgedEnd, number);
    }
  }

  void onLeaseGranted(long untilMillis) {
    leasesExpireMillis = Math.max(leasesExpireMillis, untilMillis);
  }

  boolean haveLeasesExpired(long nowMillis) {
    return nowMillis > leasesExpireMillis;
  }

  /** Returns the longest time that its leases last from now on. */
  long maxLeaseMillis(long nowMillis) {
    return Math.max(0, leasesExpireMillis - nowMillis);
  }

  /** Returns whether its leases may be extended. */
  LeaseHold leaseHold() {
    return leaseHold;
  }

  boolean pollInFlight() {
    return pollInFlight;
  }

  void onPollSent() {
    pollInFlight = true;
  }

  void onPollReturned(PollReply reply, long nowMillis) {
    pollInFlight = false;
    boolean failed = reply.outcome() != CallOutcome.DONE;
    boolean unstored = !reply.ended().isEmpty() || lastSeenEnd > lastStoredEnd;
    long delay = failed ? WorkerManager.RETRY_MILLIS : unstored ? UNSTORED_POLL_MILLIS : 0;
    nextPollMillis = nowMillis + delay;
  }

  boolean isPollDue(long nowMillis) {
    return !pollInFlight && info != null && nowMillis >= nextPollMillis;
  }

  void pollNow() {
    nextPollMillis = 0;
  }

  /** Returns the limits of its new work. */
  Restraint restraint() {
    return restraint;
  }

  /** Returns whether the runs hold more than the worker has, which may have shrunk. */
  boolean isOvercommitted() {
    return free().isNegative();
  }

  /** Returns the capacity that no run holds. */
  Capacity free() {
    return info.capacity().minus(heldBy(attempt -> true));
  }

  /**
   * Returns the capacity that will be free once the runs that are being stopped have ended. A stop
   * that takes longer than it should is not counted, since nobody knows when it will end.
   *
   * @param maxStopMillis time within which a stop should have ended
   */
  Capacity freeAfterStops(long nowMillis, long maxStopMillis) {
    return info.capacity().minus(heldBy(attempt -> !attempt.isStopping(nowMillis, maxStopMillis)));
  }

  private Capacity heldBy(Predicate<Attempt> filter) {
    Capacity held = Capacity.NONE;
    for (Attempt attempt : attemptsByKey.values()) {
      if (filter.test(attempt)) {
        held = held.plus(attempt.held());
      }
    }
    return held;
  }

  /** Returns the job that has this worker to itself for now, or null. */
  JobId isolatedFor(long nowMillis) {
    for (Attempt attempt : attemptsByKey.values()) {
      if (attempt.isOnProbation(nowMillis)) {
        return attempt.key().task().job();
      }
    }
    return null;
  }

  Map<StepId, Integer> tasksByStep() {
    Map<StepId, Integer> counts = new HashMap<>();
    attemptsByKey.keySet().forEach(key -> counts.merge(key.task().step(), 1, Integer::sum));
    return counts;
  }
}
