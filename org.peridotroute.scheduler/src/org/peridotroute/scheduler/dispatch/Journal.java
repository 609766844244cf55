package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
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
 * Writes the progress of jobs to the log, one append at a time, and runs the actions that wait for
 * an append once the log has confirmed it. An append without a reply is retried under the same
 * sequence number until it gets one. The log replies to a retry with the original result, even if
 * another planner has taken over since, and a reply may stay unread while this process is paused.
 * Actions that wait for such an append therefore run only once a later append is confirmed.
 */
final class Journal {
  /**
   * Delay before retrying an append that was refused or got no reply; a few times the latency of
   * the log.
   */
  private static final long RETRY_MILLIS = 60;

  /** Bytes of progress after which an append is full; half of what the log accepts in a call. */
  private static final int MAX_APPEND_BYTES = 1_000_000;

  private final KeyedLog log;
  private final Term term;
  private final Executor control;
  private final Time time;
  private final Events events;
  private final Consumer<AppendOutcome> onSuperseded;
  private final long maxProofAgeMillis;
  private final Set<Job> changedJobs = new LinkedHashSet<>();
  private final List<KeyedRecord> otherRecords = new ArrayList<>();
  private List<Runnable> pendingActions = new ArrayList<>();
  private List<KeyedRecord> inFlight;
  private List<Runnable> inFlightActions = List.of();
  private long sequence;
  private long firstSentMillis;
  private long retryAtMillis;
  private boolean awaitingReply;
  private boolean outcomeWasUnknown;
  private long confirmedMillis;
  private long confirmedWallMillis;
  private boolean closed;

  /**
   * Creates a journal.
   *
   * @param onSuperseded called when the log reports that another planner has taken over
   * @param maxProofAgeMillis age up to which a reply proves that no other planner has taken over
   * @param claimedMillis steady time at which the claim of the term was sent
   */
  Journal(
      KeyedLog log,
      Term term,
      Executor control,
      Time time,
      Events events,
      Consumer<AppendOutcome> onSuperseded,
      long maxProofAgeMillis,
      long claimedMillis) {
    this.log = log;
    this.term = term;
    this.control = control;
    this.time = time;
    this.events = events;
    this.onSuperseded = onSuperseded;
    this.maxProofAgeMillis = maxProofAgeMillis;
    sequence = term.sequence();
    confirmedMillis = claimedMillis;
    confirmedWallMillis = time.wallMillis() - (time.steadyMillis() - claimedMillis);
  }

  /** Adds a job to the next append. */
  void markChanged(Job job) {
    changedJobs.add(job);
  }

  /**
   * Adds a record to the next append, before the progress of jobs, without causing an append of its
   * own. Records must be few and small.
   */
  void store(KeyedRecord record) {
    otherRecords.add(record);
  }

  /** Runs an action once all changes marked so far are on the log. */
  void afterStored(Runnable action) {
    pendingActions.add(action);
  }

  /** Returns the steady time at which the last append that confirmed the term was sent. */
  long confirmedMillis() {
    return confirmedMillis;
  }

  /**
   * Returns the time since the last append that confirmed the term was sent. Both clocks count,
   * because the steady clock of a suspended machine stands still.
   */
  long unconfirmedMillis() {
    return Math.max(time.steadyMillis() - confirmedMillis, time.wallMillis() - confirmedWallMillis);
  }

  /** Returns whether an append has been without a confirmation for longer than a threshold. */
  boolean isStalled(long nowMillis, long thresholdMillis) {
    return inFlight != null && nowMillis - firstSentMillis > thresholdMillis;
  }

  /** Returns the number of changed jobs that are not written yet, for the dump. */
  int backlog() {
    return changedJobs.size();
  }

  void close() {
    closed = true;
  }

  /**
   * Appends the changed jobs, or a heartbeat record if nothing was confirmed for a while.
   *
   * @param renewMillis longest time between two records
   */
  void flush(long renewMillis) {
    long now = time.steadyMillis();
    if (closed || awaitingReply || now < retryAtMillis) {
      return;
    }
    if (inFlight == null) {
      boolean renewalDue = now - confirmedMillis >= renewMillis;
      if (changedJobs.isEmpty() && pendingActions.isEmpty() && !renewalDue) {
        return;
      }
      startAppend(now);
    }
    awaitingReply = true;
    long sentWallMillis = time.wallMillis();
    Replies.deliver(
        log.append(
            Topic.PROGRESS, inFlight, -1, new KeyedLog.Fence(Term.ROLE, term.epoch(), sequence)),
        control,
        reply -> onAppendReply(reply, now, sentWallMillis));
  }

  private void startAppend(long now) {
    List<KeyedRecord> records = new ArrayList<>(otherRecords);
    otherRecords.clear();
    int bytes = 0;
    Iterator<Job> changed = changedJobs.iterator();
    while (changed.hasNext() && bytes < MAX_APPEND_BYTES) {
      Job job = changed.next();
      byte[] progress = ProgressCodec.write(job);
      records.add(KeyedRecord.of(job.submission().id().value(), progress));
      bytes += progress.length;
      changed.remove();
    }
    if (records.isEmpty()) {
      records.add(term.record());
    }
    inFlight = records;
    inFlightActions = List.of();
    if (changedJobs.isEmpty()) {
      inFlightActions = pendingActions;
      pendingActions = new ArrayList<>();
    }
    firstSentMillis = now;
  }

  private void onAppendReply(AppendReply reply, long sentMillis, long sentWallMillis) {
    awaitingReply = false;
    if (closed) {
      return;
    }
    switch (reply.outcome()) {
      case APPENDED -> onAppended(sentMillis, sentWallMillis);
      case REFUSED, UNKNOWN -> {
        outcomeWasUnknown |= reply.outcome() == AppendOutcome.UNKNOWN;
        retryAtMillis = time.steadyMillis() + RETRY_MILLIS;
        events.warn(
            "journal-append-retried",
            "outcome",
            reply.outcome(),
            "epoch",
            term.epoch(),
            "sequence",
            sequence,
            "ageMillis",
            time.steadyMillis() - firstSentMillis);
      }
      default -> {
        closed = true;
        onSuperseded.accept(reply.outcome());
      }
    }
  }

  private void onAppended(long sentMillis, long sentWallMillis) {
    long ageMillis = time.steadyMillis() - sentMillis;
    boolean confirmsTerm = !outcomeWasUnknown && ageMillis <= maxProofAgeMillis;
    sequence++;
    inFlight = null;
    List<Runnable> actions = inFlightActions;
    inFlightActions = List.of();
    if (confirmsTerm) {
      confirmedMillis = sentMillis;
      confirmedWallMillis = sentWallMillis;
      actions.forEach(Runnable::run);
    } else {
      events.info(
          "journal-answer-no-proof",
          "epoch",
          term.epoch(),
          "repeated",
          outcomeWasUnknown,
          "ageMillis",
          ageMillis,
          "waiting",
          actions.size());
      pendingActions.addAll(0, actions);
    }
    outcomeWasUnknown = false;
    flush(Long.MAX_VALUE);
  }
}
