package org.peridotroute.scheduler.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.port.WorkerGateway.Target;

/** What the planner believes of one worker during one term. */
final class WorkerState {
  private static final long UNKNOWN = -1;

  /** Jump of a worker's clock that shows a new life; well over its drift between two answers. */
  private static final long CLOCK_JUMP_MILLIS = 1_500;

  private final WorkerId id;
  private final Map<Attempt.Key, Attempt> attempts = new LinkedHashMap<>();
  private WorkerInfo info;
  private boolean listed;
  private boolean fenced;
  private long bornMillis = UNKNOWN;
  private long clockMillis = -1;
  private long clockAtMillis;
  private long seenEnd;
  private long storedEnd;
  private long forgottenEnd;
  private long lapseAtMillis;
  private long lookStamp;
  private boolean lookInFlight;
  private int silentCalls;
  private long nextLookMillis;
  private long sickUntilMillis;
  private int sickness;

  WorkerState(WorkerId id, long lapseAtMillis) {
    this.id = id;
    this.lapseAtMillis = lapseAtMillis;
  }

  WorkerId id() {
    return id;
  }

  WorkerInfo info() {
    return info;
  }

  void list(WorkerInfo latest) {
    info = latest;
    listed = true;
  }

  void unlist() {
    listed = false;
  }

  boolean isListed() {
    return listed;
  }

  boolean isReachable() {
    return info != null;
  }

  Target target() {
    return new Target(id.value(), info.address());
  }

  Map<Attempt.Key, Attempt> attempts() {
    return attempts;
  }

  Collection<Attempt> all() {
    return attempts.values();
  }

  /** Returns whether new work may go there. */
  boolean isUsable(long nowMillis) {
    return listed && fenced && !info.draining() && silentCalls == 0 && nowMillis >= sickUntilMillis;
  }

  boolean isFenced() {
    return fenced;
  }

  /** Returns the worker's clock as far as it can be told, -1 before the first answer. */
  long clockMillis(long nowMillis) {
    return clockMillis < 0 ? -1 : clockMillis + (nowMillis - clockAtMillis);
  }

  /**
   * Takes an answer's clock in.
   *
   * @return whether the clock shows that this is another life than before
   */
  boolean heard(long workerClockMillis, long nowMillis) {
    silentCalls = 0;
    if (workerClockMillis < 0) {
      return false;
    }
    boolean reborn =
        clockMillis >= 0 && workerClockMillis + CLOCK_JUMP_MILLIS < clockMillis(nowMillis);
    if (clockMillis < 0 || reborn || workerClockMillis >= clockMillis) {
      clockMillis = workerClockMillis;
      clockAtMillis = nowMillis;
    }
    return reborn;
  }

  void silent() {
    silentCalls++;
  }

  int silentCalls() {
    return silentCalls;
  }

  /**
   * Notes that the worker has seen this term's token: from now on nobody else extends its leases,
   * so what an earlier planner granted has run out by the time given.
   */
  void fencedIn(long born, long lapsedByMillis) {
    fenced = true;
    bornMillis = born;
    lapseAtMillis = lapsedByMillis;
  }

  long bornMillis() {
    return bornMillis;
  }

  /** Forgets what belongs to an earlier life: numbers of ends and the clock. */
  void newLife() {
    seenEnd = 0;
    storedEnd = 0;
    forgottenEnd = 0;
    bornMillis = UNKNOWN;
    clockMillis = -1;
    fenced = false;
  }

  long seenEnd() {
    return seenEnd;
  }

  void sawEnd(long number) {
    seenEnd = Math.max(seenEnd, number);
  }

  long storedEnd() {
    return storedEnd;
  }

  void storedEnd(long number, long born) {
    if (born == bornMillis) {
      storedEnd = Math.max(storedEnd, number);
    }
  }

  /**
   * Returns the end to acknowledge, 0 once the worker has forgotten what is stored: a number of
   * this life must not reach a later one, which would forget ends of its own.
   */
  long endToAcknowledge() {
    return storedEnd > forgottenEnd && silentCalls == 0 ? storedEnd : 0;
  }

  /** Notes that the worker has answered a look that acknowledged an end. */
  void forgot(long number, long born) {
    if (born == bornMillis) {
      forgottenEnd = Math.max(forgottenEnd, number);
    }
  }

  void granted(long untilMillis) {
    lapseAtMillis = Math.max(lapseAtMillis, untilMillis);
  }

  boolean hasLapsed(long nowMillis) {
    return nowMillis > lapseAtMillis;
  }

  boolean lookInFlight() {
    return lookInFlight;
  }

  void lookSent(long stamp) {
    lookInFlight = true;
    lookStamp = stamp;
  }

  long lookReturned(long nextMillis) {
    lookInFlight = false;
    nextLookMillis = nextMillis;
    return lookStamp;
  }

  boolean isLookDue(long nowMillis) {
    return !lookInFlight && info != null && nowMillis >= nextLookMillis;
  }

  void lookAtOnce() {
    nextLookMillis = 0;
  }

  /** Keeps new work away for a while. */
  void sick(long untilMillis) {
    sickness++;
    sickUntilMillis = Math.max(sickUntilMillis, untilMillis);
  }

  void well() {
    sickness = 0;
  }

  int sickness() {
    return sickness;
  }

  /** Returns the room that nothing holds, and the room once all stops under way have ended. */
  Capacity free(boolean afterStops) {
    Capacity free = info.capacity();
    for (Attempt attempt : attempts.values()) {
      if (!afterStops || !attempt.isStopWanted()) {
        free = free.minus(attempt.held());
      }
    }
    return free;
  }

  Map<StepId, Integer> tasksByStep() {
    Map<StepId, Integer> counts = new HashMap<>();
    attempts.keySet().forEach(key -> counts.merge(key.task().step(), 1, Integer::sum));
    return counts;
  }
}
