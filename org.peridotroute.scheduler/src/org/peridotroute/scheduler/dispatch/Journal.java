package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedLog.AppendOutcome;
import org.peridotroute.scheduler.port.KeyedLog.AppendReply;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Replies;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.ProgressCodec;

/**
 * Writes the progress of jobs, one append at a time, and runs what waits for it once the log has
 * answered. An append without an answer is repeated under its number until it gets one. The log
 * answers a repeat with what it said first, even if another planner has taken over since, and an
 * answer may lie unread while this process is paused; so what waits for such an append runs only
 * once a later one is confirmed.
 */
final class Journal {
  /** Pause before an append that the log refused is tried again; a few of the log's own times. */
  private static final long RETRY_MILLIS = 60;

  private final KeyedLog log;
  private final Term term;
  private final Executor control;
  private final Time time;
  private final Events events;
  private final Consumer<AppendOutcome> onSuperseded;
  private final long proofMillis;
  private final Set<Job> dirty = new LinkedHashSet<>();
  private List<Runnable> waiting = new ArrayList<>();
  private List<KeyedRecord> inFlight;
  private List<Runnable> afterInFlight = List.of();
  private long sequence;
  private long sentMillis;
  private long retryMillis;
  private boolean awaitingReply;
  private boolean unanswered;
  private long confirmedMillis;
  private boolean closed;

  /**
   * Creates a journal.
   *
   * @param onSuperseded told when the log says that another planner has taken over
   * @param proofMillis age up to which an answer proves that nobody else has taken over
   */
  Journal(
      KeyedLog log,
      Term term,
      Executor control,
      Time time,
      Events events,
      Consumer<AppendOutcome> onSuperseded,
      long proofMillis) {
    this.log = log;
    this.term = term;
    this.control = control;
    this.time = time;
    this.events = events;
    this.onSuperseded = onSuperseded;
    this.proofMillis = proofMillis;
    sequence = term.sequence();
    confirmedMillis = time.steadyMillis();
  }

  /** Marks a job as changed. */
  void changed(Job job) {
    dirty.add(job);
  }

  /** Runs something once all changes so far are on the log. */
  void afterStored(Runnable action) {
    waiting.add(action);
  }

  /** Returns when the log last confirmed that the term is in force. */
  long confirmedMillis() {
    return confirmedMillis;
  }

  /** Returns whether the log has left an append unanswered for a time. */
  boolean isStalled(long nowMillis, long patienceMillis) {
    return inFlight != null && nowMillis - sentMillis > patienceMillis;
  }

  /** Returns the jobs that wait to be written, for the dump. */
  int backlog() {
    return dirty.size();
  }

  void close() {
    closed = true;
  }

  /**
   * Appends what has changed, or a sign of life where nothing has for a while.
   *
   * @param renewMillis longest time between two records
   */
  void flush(long renewMillis) {
    long now = time.steadyMillis();
    if (closed || awaitingReply || now < retryMillis) {
      return;
    }
    if (inFlight == null) {
      boolean silent = now - confirmedMillis >= renewMillis;
      if (dirty.isEmpty() && waiting.isEmpty() && !silent) {
        return;
      }
      begin(now);
    }
    awaitingReply = true;
    Replies.deliver(
        log.append(
            Topic.PROGRESS, inFlight, -1, new KeyedLog.Fence(Term.ROLE, term.epoch(), sequence)),
        control,
        reply -> answered(reply, now));
  }

  private void begin(long now) {
    List<KeyedRecord> records = new ArrayList<>();
    for (Job job : dirty) {
      JobId id = job.submission().id();
      records.add(KeyedRecord.of(id.value(), ProgressCodec.write(job)));
    }
    if (records.isEmpty()) {
      records.add(term.record());
    }
    dirty.clear();
    inFlight = records;
    afterInFlight = waiting;
    waiting = new ArrayList<>();
    sentMillis = now;
  }

  private void answered(AppendReply reply, long sentAt) {
    awaitingReply = false;
    if (closed) {
      return;
    }
    switch (reply.outcome()) {
      case APPENDED -> stored(sentAt);
      case REFUSED, UNKNOWN -> {
        unanswered |= reply.outcome() == AppendOutcome.UNKNOWN;
        retryMillis = time.steadyMillis() + RETRY_MILLIS;
        events.warn(
            "journal-append-retried",
            "outcome",
            reply.outcome(),
            "epoch",
            term.epoch(),
            "sequence",
            sequence,
            "ageMillis",
            time.steadyMillis() - sentMillis);
      }
      default -> {
        closed = true;
        onSuperseded.accept(reply.outcome());
      }
    }
  }

  private void stored(long sentAt) {
    long ageMillis = time.steadyMillis() - sentAt;
    boolean proves = !unanswered && ageMillis <= proofMillis;
    sequence++;
    inFlight = null;
    List<Runnable> actions = afterInFlight;
    afterInFlight = List.of();
    if (proves) {
      confirmedMillis = sentAt;
      actions.forEach(Runnable::run);
    } else {
      events.info(
          "journal-answer-no-proof",
          "epoch",
          term.epoch(),
          "repeated",
          unanswered,
          "ageMillis",
          ageMillis,
          "waiting",
          actions.size());
      waiting.addAll(0, actions);
    }
    unanswered = false;
    flush(Long.MAX_VALUE);
  }
}
