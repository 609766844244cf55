package org.peridotroute.fold;

import org.pcollections.TreePMap;
import org.peridotroute.journal.Envelope;
import org.peridotroute.lib.Incarnation;

/**
 * How far each writer has come in a stream, so that a record that was appended twice counts once.
 * Immutable and persistent. Remembers the {@value #MAX_WRITERS} that wrote last, far over the
 * processes whose appends can still be on their way.
 *
 * @param marks last sequence and its offset by writer
 * @param byRevision writers by the offset of their last record
 */
public record WriterSequences(
    TreePMap<Incarnation, Mark> marks, TreePMap<Long, Incarnation> byRevision) {
  /** WriterSequences remembered. */
  public static final int MAX_WRITERS = 512;

  /** Nobody has written yet. */
  public static final WriterSequences EMPTY =
      new WriterSequences(TreePMap.empty(), TreePMap.empty());

  /**
   * How far a writer has come.
   *
   * @param sequence its last sequence
   * @param revision offset of that record
   */
  public record Mark(long sequence, long revision) {}

  /**
   * Returns whether a record was seen before, or was overtaken by a later one of its writer.
   *
   * @param envelope the record
   * @return whether it counts no more
   */
  public boolean hasSeen(Envelope envelope) {
    Mark mark = marks.get(envelope.writer());
    return mark != null && envelope.sequence() <= mark.sequence();
  }

  /**
   * Returns the writers with one more record.
   *
   * @param writer its writer
   * @param sequence its sequence
   * @param revision its offset
   * @return the writers
   */
  public WriterSequences plus(Incarnation writer, long sequence, long revision) {
    Mark before = marks.get(writer);
    TreePMap<Long, Incarnation> revisions =
        before == null ? byRevision : byRevision.minus(before.revision());
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
