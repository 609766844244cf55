package org.peridotroute.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import org.peridotroute.errors.OutcomeUnknownException;
import org.peridotroute.fold.Verdict;
import org.peridotroute.fold.WriterSequences;
import org.peridotroute.journal.Envelope;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.Incarnation;

/**
 * Proposals of this process to one stream that have not been read back. The log writer registers
 * records, and the reader of the stream resolves them. Thread-safe.
 */
public final class PendingProposals {
  private final Incarnation writer;
  private final AtomicLong lastSequence = new AtomicLong();
  private final ConcurrentSkipListMap<Long, CompletableFuture<Verdict>> pending =
      new ConcurrentSkipListMap<>();

  /**
   * Creates an empty set.
   *
   * @param writer identifies this run of the process
   */
  public PendingProposals(Incarnation writer) {
    this.writer = writer;
  }

  /**
   * Registers a record under the next sequence number of this writer. Records must be appended in
   * the order of their sequence numbers.
   *
   * @param record the record
   * @param timeMillis wall clock time of the proposal
   * @param outcome completed with the verdict when the record is read back
   * @return the envelope to append
   */
  public Envelope register(LogRecord record, long timeMillis, CompletableFuture<Verdict> outcome) {
    long sequence = lastSequence.incrementAndGet();
    pending.put(sequence, outcome);
    return new Envelope(Envelope.VERSION, writer, sequence, timeMillis, record);
  }

  /**
   * Completes the proposal of a record with its verdict. Ignores records of other writers.
   *
   * @param entry the record as read back
   * @param verdict whether the record was accepted, or why not
   */
  public void resolve(LogEntry entry, Verdict verdict) {
    if (!entry.envelope().writer().equals(writer)) {
      return;
    }
    CompletableFuture<Verdict> outcome = pending.remove(entry.envelope().sequence());
    if (outcome != null) {
      outcome.complete(verdict);
    }
  }

  /**
   * Fails all proposals that are covered by a loaded snapshot. Their records are not read back, so
   * it is unknown whether they were accepted.
   *
   * @param writers the last sequence number of each writer in the snapshot
   */
  public void failUpTo(WriterSequences writers) {
    WriterSequences.Mark mark = writers.marks().get(writer);
    if (mark != null) {
      fail(pending.headMap(mark.sequence(), true));
    }
  }

  /** Fails all pending proposals, because the stream is no longer read. */
  public void failAll() {
    fail(pending);
  }

  private static void fail(Map<Long, CompletableFuture<Verdict>> proposals) {
    List<CompletableFuture<Verdict>> outcomes = new ArrayList<>(proposals.values());
    proposals.clear();
    outcomes.forEach(outcome -> outcome.completeExceptionally(new OutcomeUnknownException()));
  }

  /** Returns the number of proposals that have not been read back. */
  public int size() {
    return pending.size();
  }
}
