package org.peridotroute.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The append-only log. Implementations are safe for use by several threads. */
public interface LogClient {
  /**
   * Appends records in one go, in order.
   *
   * @param stream the stream
   * @param records their texts
   * @return completes with the offset of the first; a failure says nothing about whether the
   *     records were taken
   */
  CompletableFuture<Long> append(String stream, List<String> records);

  /**
   * Reads records.
   *
   * @param stream the stream
   * @param fromOffset the first offset wanted, from 1
   * @param maxRecords the most records wanted
   * @param waitMillis how long to wait where there is none yet
   * @return completes with what is there; fails with {@link
   *     org.peridotroute.errors.RecordsExpiredException} if the offset is past retention
   */
  CompletableFuture<LogPage> read(String stream, long fromOffset, int maxRecords, long waitMillis);
}
