package org.peridotroute.scheduler.node;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedLog.AppendOutcome;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Replies;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.scheduler.table.PreparedSubmission;
import org.peridotroute.scheduler.table.RequestCodec;

/**
 * Cancellations on the log whose jobs are not. Each is kept for as long as a submission that was
 * prepared before it can still become valid, then the planner removes it from the log. Confined to
 * the control thread, except for {@link #hasRoom} and {@link #size}.
 */
final class EarlyCancellations {
  /** Number kept beyond which no further unknown job can be cancelled. */
  private static final int MAX_KEPT = 2 * (int) PreparedSubmission.MAX_LATENESS_RECORDS;

  private static final int MAX_REMOVED_PER_APPEND = 200;

  /** Time between two searches for cancellations to remove. */
  private static final long REMOVE_INTERVAL_MILLIS = 1_000;

  private final KeyedLog log;
  private final Executor control;
  private final Time time;
  private final Events events;
  private final Map<JobId, Long> offsets = new ConcurrentHashMap<>();
  private boolean inFlight;
  private long nextRemovalMillis;

  EarlyCancellations(KeyedLog log, Executor control, Time time, Events events) {
    this.log = log;
    this.control = control;
    this.time = time;
    this.events = events;
  }

  /** Adds a cancellation, which replaces an earlier one of the same job. */
  void add(JobId id, long offset) {
    offsets.merge(id, offset, Math::max);
  }

  /** Drops the cancellation of a job that has become known, or whose cancellation was removed. */
  void remove(JobId id) {
    offsets.remove(id);
  }

  /** Returns the jobs whose cancellations are not among the keys of the topic. */
  List<JobId> idsWithout(Set<String> keys) {
    return offsets.keySet().stream()
        .filter(id -> !keys.contains(RequestCodec.writeCancellation(id).key()))
        .toList();
  }

  /** Returns whether the cancellation of a further unknown job can be kept. Any thread. */
  boolean hasRoom() {
    return offsets.size() < MAX_KEPT;
  }

  /** Returns the number of cancellations. Any thread. */
  int size() {
    return offsets.size();
  }

  /**
   * Removes cancellations from the log that no valid submission can follow. The append is done only
   * if nothing has been stored since the topic was read, so it never removes a newer cancellation,
   * nor that of a job that has just become known. To be called by the planner alone.
   *
   * @param readOffset offset up to which the topic has been read
   */
  void removeExpired(long readOffset) {
    long now = time.steadyMillis();
    if (inFlight || now < nextRemovalMillis || offsets.isEmpty()) {
      return;
    }
    nextRemovalMillis = now + REMOVE_INTERVAL_MILLIS;
    List<KeyedRecord> removals =
        offsets.entrySet().stream()
            .filter(
                entry -> readOffset - entry.getValue() > PreparedSubmission.MAX_LATENESS_RECORDS)
            .limit(MAX_REMOVED_PER_APPEND)
            .map(entry -> RequestCodec.removeCancellation(entry.getKey()))
            .toList();
    if (removals.isEmpty()) {
      return;
    }
    inFlight = true;
    Replies.deliver(
        log.append(Topic.REQUESTS, removals, readOffset, null),
        control,
        reply -> {
          inFlight = false;
          if (reply.outcome() == AppendOutcome.APPENDED) {
            nextRemovalMillis = 0;
            events.info("cancellations-removed", "count", removals.size());
          }
        });
  }
}
