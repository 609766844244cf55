package org.peridotroute.control;

import java.util.concurrent.CompletableFuture;
import org.peridotroute.fold.Verdict;
import org.peridotroute.journal.LogRecord;

/** Proposes records to a stream of the log. Implementations are thread-safe. */
public interface RecordSink {
  /**
   * Proposes a record.
   *
   * @param record the record
   * @return completes with the verdict when the record has been read back; fails with {@link
   *     org.peridotroute.errors.NotSentException} if the record certainly has no effect, and with
   *     {@link org.peridotroute.errors.OutcomeUnknownException} if its effect is unknown
   */
  CompletableFuture<Verdict> propose(LogRecord record);
}
