package org.peridotroute.scheduler.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongFunction;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedLog.AppendOutcome;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Replies;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.Topic;

/**
 * Stores callers' requests on the log before the callers get a response. Pending requests share one
 * append. A refused append is retried until its requests expire or appends have been failing for
 * {@link #REJECT_AFTER_MILLIS}. An append without a reply is not retried: its requests end with
 * UNKNOWN. Confined to the control thread.
 */
final class RequestWriter {
  /** Delay before the next append after a failed one. */
  private static final long RETRY_DELAY_MILLIS = 60;

  /** Time of continuous append failures after which requests are rejected at once. */
  private static final long REJECT_AFTER_MILLIS = 150;

  private static final int MAX_BATCH_RECORDS = 200;

  /** Bytes of records after which an append is full; half of what the log accepts in a call. */
  private static final int MAX_BATCH_BYTES = 1_000_000;

  /** A request that waits to be stored. */
  private static final class Pending {
    private final KeyedRecord record;
    private final LongFunction<RequestOutcome> onStored;
    private final long deadlineMillis;
    private final CompletableFuture<RequestOutcome> result;

    Pending(
        KeyedRecord record,
        LongFunction<RequestOutcome> onStored,
        long deadlineMillis,
        CompletableFuture<RequestOutcome> result) {
      this.result = result;
      this.record = record;
      this.onStored = onStored;
      this.deadlineMillis = deadlineMillis;
    }
  }

  private final KeyedLog log;
  private final Executor control;
  private final Time time;
  private final Events events;
  private final List<Pending> queue = new ArrayList<>();
  private boolean inFlight;
  private long nextAppendMillis;
  private long failingSinceMillis = -1;
  private long lastFailureMillis;

  RequestWriter(KeyedLog log, Executor control, Time time, Events events) {
    this.log = log;
    this.control = control;
    this.time = time;
    this.events = events;
  }

  /**
   * Stores a request, or rejects it at once if the log has been failing for too long.
   *
   * @param record record of the request
   * @param onStored called with the offset of the record once it is stored, before the caller gets
   *     a response; returns the outcome
   * @param deadlineMillis steady time until which the caller waits
   * @param result completed with the outcome
   */
  void store(
      KeyedRecord record,
      LongFunction<RequestOutcome> onStored,
      long deadlineMillis,
      CompletableFuture<RequestOutcome> result) {
    if (isRejecting()) {
      result.complete(RequestOutcome.NOT_DONE);
      return;
    }
    queue.add(new Pending(record, onStored, deadlineMillis, result));
    step();
  }

  /** Returns whether requests are rejected at once, because appends keep failing. */
  boolean isRejecting() {
    return failingSinceMillis >= 0
        && time.steadyMillis() - failingSinceMillis >= REJECT_AFTER_MILLIS;
  }

  /**
   * Handles a reply of the log to another call of this VM: requests are accepted again if the call
   * was sent after the last failed append. Needed because no append is made while requests are
   * rejected.
   *
   * @param sentMillis steady time at which that call was sent
   */
  void onLogReply(long sentMillis) {
    if (failingSinceMillis >= 0 && sentMillis > lastFailureMillis) {
      failingSinceMillis = -1;
      events.info("request-append-regained");
    }
  }

  /** Appends pending requests, and ends those whose deadline has passed. */
  void step() {
    long now = time.steadyMillis();
    queue.removeIf(pending -> expireIfDue(pending, now));
    if (inFlight || queue.isEmpty() || now < nextAppendMillis) {
      return;
    }
    inFlight = true;
    List<Pending> batch = nextBatch();
    List<KeyedRecord> records = batch.stream().map(pending -> pending.record).toList();
    Replies.deliver(
        log.append(Topic.REQUESTS, records, -1, null),
        control,
        reply -> {
          inFlight = false;
          onAppendReply(batch, reply);
          step();
        });
  }

  private List<Pending> nextBatch() {
    int count = 0;
    int bytes = 0;
    while (count < Math.min(MAX_BATCH_RECORDS, queue.size()) && bytes < MAX_BATCH_BYTES) {
      bytes += queue.get(count).record.value().length;
      count++;
    }
    return List.copyOf(queue.subList(0, count));
  }

  private boolean expireIfDue(Pending pending, long now) {
    boolean rejecting = isRejecting();
    if (now < pending.deadlineMillis && !rejecting) {
      return false;
    }
    if (inFlight) {
      return false;
    }
    pending.result.complete(RequestOutcome.NOT_DONE);
    return true;
  }

  private void onAppendReply(List<Pending> batch, KeyedLog.AppendReply reply) {
    long now = time.steadyMillis();
    if (reply.outcome() == AppendOutcome.APPENDED) {
      failingSinceMillis = -1;
      queue.removeAll(batch);
      long offset = reply.firstOffset();
      for (Pending pending : batch) {
        pending.result.complete(pending.onStored.apply(offset++));
      }
      return;
    }
    lastFailureMillis = now;
    if (failingSinceMillis < 0) {
      failingSinceMillis = now;
      events.warn("request-append-failing", "outcome", reply.outcome(), "requests", batch.size());
    }
    if (reply.outcome() == AppendOutcome.UNKNOWN) {
      // Callers retry at another VM with the same id; a retry here would only delay them.
      queue.removeAll(batch);
      batch.forEach(pending -> pending.result.complete(RequestOutcome.UNKNOWN));
    }
    nextAppendMillis = now + RETRY_DELAY_MILLIS;
  }
}
