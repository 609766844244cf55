package org.peridotroute.control;

import java.util.concurrent.CompletableFuture;
import org.peridotroute.fold.Verdict;
import org.peridotroute.journal.LogRecord;

/** Where records are proposed. Implementations are safe for use by several threads. */
public interface RecordSink {
  /**
   * Proposes a record.
   *
   * @param record the record
   * @return completes with the verdict once the record was read back; fails with {@link
   *     org.peridotroute.errors.NotSentException} if it certainly has no effect, and with {@link
   *     org.peridotroute.errors.OutcomeUnknownException} if nobody can say
   */
  CompletableFuture<Verdict> propose(LogRecord record);
}
