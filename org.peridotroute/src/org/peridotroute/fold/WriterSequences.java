package org.peridotroute.fold;

import org.pcollections.TreePMap;
import org.peridotroute.journal.Envelope;
import org.peridotroute.lib.Incarnation;

/**
 * Last sequence number of each writer to a stream, used to discard records that were appended
 * twice. Keeps the {@value #MAX_WRITERS} most recent writers, far more than the number of processes
 * whose appends can still be in flight. Immutable, built on persistent collections.
 *
 * @param marks position of each writer
 * @param byRevision writers by the offset of their last record
 */
public record WriterSequences(
    TreePMap<Incarnation, Mark> marks, TreePMap<Long, Incarnation> byRevision) {
  /** Maximum number of writers kept; the one with the oldest record is dropped first. */
  public static final int MAX_WRITERS = 512;

  /** No writer has written yet. */
  public static final WriterSequences EMPTY =
      new WriterSequences(TreePMap.empty(), TreePMap.empty());

  /**
   * Position of a writer in the stream.
   *
   * @param sequence sequence number of its last record
   * @param revision offset of that record
   */
  public record Mark(long sequence, long revision) {}

  /**
   * Returns whether a record was already seen, or is older than the last one of its writer.
   *
   * @param envelope the record
   * @return true if the record must be discarded
   */
  public boolean hasSeen(Envelope envelope) {
    Mark mark = marks.get(envelope.writer());
    return mark != null && envelope.sequence() <= mark.sequence();
  }

  /**
   * Returns a copy that includes one more record.
   *
   * @param writer writer of the record
   * @param sequence sequence number of the record
   * @param revision offset of the record
   * @return the updated copy
   */
  public WriterSequences plus(Incarnation writer, long sequence, long revision) {
    Mark previous = marks.get(writer);
    TreePMap<Long, Incarnation> revisions =
        previous == null ? byRevision : byRevision.minus(previous.revision());
    WriterSequences next =
        new WriterSequences(
            marks.plus(writer, new Mark(sequence, revision)), revisions.plus(revision, writer));
    return next.marks.size() > MAX_WRITERS ? next.withoutOldest() : next;
  }

  private WriterSequences withoutOldest() {
    long oldest = byRevision.firstKey();
    return new WriterSequences(marks.minus(byRevision.get(oldest)), byRevision.minus(oldest));
  }
}
