package org.peridotroute.scheduler.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedLog.AppendOutcome;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Replies;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.Topic;

/**
 * Stores callers' requests before they are answered, all that wait in one append. A refused append
 * is repeated for a moment; one without an answer is not, and its callers are told so. Belongs to
 * the control thread.
 */
final class RequestWriter {
  /** Pause after a refused append. */
  private static final long RETRY_MILLIS = 60;

  /** Age of the log's silence at which requests are refused at once. */
  private static final long REFUSE_AFTER_MILLIS = 150;

  /** Most records in one append; well under the log's limit for a call. */
  private static final int MAX_BATCH = 200;

  /** A request that waits for the log. */
  private static final class Pending {
    private final KeyedRecord record;
    private final Runnable onStored;
    private final long deadlineMillis;
    private final CompletableFuture<RequestOutcome> answer;

    Pending(
        KeyedRecord record,
        Runnable onStored,
        long deadlineMillis,
        CompletableFuture<RequestOutcome> answer) {
      this.answer = answer;
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
  private long retryMillis;
  private long failingSinceMillis = -1;
  private long failedMillis;

  RequestWriter(KeyedLog log, Executor control, Time time, Events events) {
    this.log = log;
    this.control = control;
    this.time = time;
    this.events = events;
  }

  /**
   * Stores a request.
   *
   * @param record its record
   * @param onStored run once it is stored, before the answer
   * @param deadlineMillis steady time until which the caller waits
   * @param answer completed with the outcome
   */
  void store(
      KeyedRecord record,
      Runnable onStored,
      long deadlineMillis,
      CompletableFuture<RequestOutcome> answer) {
    if (isRefusing()) {
      answer.complete(RequestOutcome.NOT_DONE);
      return;
    }
    queue.add(new Pending(record, onStored, deadlineMillis, answer));
    step();
  }

  /** Returns whether the log has been failing this VM for a while. */
  boolean isRefusing() {
    return failingSinceMillis >= 0
        && time.steadyMillis() - failingSinceMillis >= REFUSE_AFTER_MILLIS;
  }

  /**
   * Takes in that the log has answered this VM otherwise, so that requests are tried again: while
   * they are refused, nobody asks.
   *
   * @param sentMillis when that call was made
   */
  void logAnswered(long sentMillis) {
    if (failingSinceMillis >= 0 && sentMillis > failedMillis) {
      failingSinceMillis = -1;
      events.info("request-append-regained");
    }
  }

  /** Appends what waits, and answers what has waited too long. */
  void step() {
    long now = time.steadyMillis();
    queue.removeIf(pending -> expire(pending, now));
    if (inFlight || queue.isEmpty() || now < retryMillis) {
      return;
    }
    inFlight = true;
    List<Pending> batch = List.copyOf(queue.subList(0, Math.min(MAX_BATCH, queue.size())));
    List<KeyedRecord> records = batch.stream().map(pending -> pending.record).toList();
    Replies.deliver(
        log.append(Topic.REQUESTS, records, -1, null),
        control,
        reply -> {
          inFlight = false;
          answered(batch, reply);
          step();
        });
  }

  private boolean expire(Pending pending, long now) {
    boolean refusedAlready = isRefusing();
    if (now < pending.deadlineMillis && !refusedAlready) {
      return false;
    }
    if (inFlight) {
      return false;
    }
    pending.answer.complete(RequestOutcome.NOT_DONE);
    return true;
  }

  private void answered(List<Pending> batch, KeyedLog.AppendReply reply) {
    long now = time.steadyMillis();
    if (reply.outcome() == AppendOutcome.APPENDED) {
      failingSinceMillis = -1;
      queue.removeAll(batch);
      for (Pending pending : batch) {
        pending.onStored.run();
        pending.answer.complete(RequestOutcome.DONE);
      }
      return;
    }
    failedMillis = now;
    if (failingSinceMillis < 0) {
      failingSinceMillis = now;
      events.warn("request-append-failing", "outcome", reply.outcome(), "requests", batch.size());
    }
    if (reply.outcome() == AppendOutcome.UNKNOWN) {
      // Callers ask again elsewhere under the same id; waiting on here would only cost them time.
      queue.removeAll(batch);
      batch.forEach(pending -> pending.answer.complete(RequestOutcome.UNKNOWN));
    }
    retryMillis = now + RETRY_MILLIS;
  }
}
