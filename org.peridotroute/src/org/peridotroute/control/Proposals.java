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
 * Proposals of this process to one stream that were not read back yet. The writer seals records,
 * the fold resolves them. Safe for use by several threads.
 */
public final class Proposals {
  private final Incarnation writer;
  private final AtomicLong sequences = new AtomicLong();
  private final ConcurrentSkipListMap<Long, CompletableFuture<Verdict>> open =
      new ConcurrentSkipListMap<>();

  /**
   * Creates an empty set.
   *
   * @param writer this run of the process
   */
  public Proposals(Incarnation writer) {
    this.writer = writer;
  }

  /**
   * Gives a record its place in the order of this writer. Records must be appended in that order.
   *
   * @param record the record
   * @param timeMillis wall clock
   * @param outcome completed with the verdict once the record is read back
   * @return what to append
   */
  public Envelope seal(LogRecord record, long timeMillis, CompletableFuture<Verdict> outcome) {
    long sequence = sequences.incrementAndGet();
    open.put(sequence, outcome);
    return new Envelope(Envelope.VERSION, writer, sequence, timeMillis, record);
  }

  /**
   * Tells the verdict to whoever proposed a record, if it was this process.
   *
   * @param entry the record as read back
   * @param verdict what the fold made of it
   */
  public void resolve(LogEntry entry, Verdict verdict) {
    if (!entry.envelope().writer().equals(writer)) {
      return;
    }
    CompletableFuture<Verdict> outcome = open.remove(entry.envelope().sequence());
    if (outcome != null) {
      outcome.complete(verdict);
    }
  }

  /**
   * Fails what was decided in records that were never read, since state was taken over from a
   * snapshot: it may or may not have been accepted.
   *
   * @param writers how far each writer has come in the snapshot
   */
  public void skip(WriterSequences writers) {
    WriterSequences.Mark mark = writers.marks().get(writer);
    if (mark != null) {
      fail(open.headMap(mark.sequence(), true));
    }
  }

  /** Fails everything that is open, since nobody will read on. */
  public void abandon() {
    fail(open);
  }

  private static void fail(Map<Long, CompletableFuture<Verdict>> undecided) {
    List<CompletableFuture<Verdict>> left = new ArrayList<>(undecided.values());
    undecided.clear();
    left.forEach(outcome -> outcome.completeExceptionally(new OutcomeUnknownException()));
  }

  /** Returns how many proposals were not read back yet. */
  public int size() {
    return open.size();
  }
}
