package org.peridotroute.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Client of the platform's append-only log. Implementations must be thread-safe. */
public interface LogClient {
  /**
   * Appends records in one request, in order.
   *
   * @param stream name of the stream
   * @param records the encoded records
   * @return a future with the offset of the first record; after a failure the records may or may
   *     not have been appended
   */
  CompletableFuture<Long> append(String stream, List<String> records);

  /**
   * Reads records.
   *
   * @param stream name of the stream
   * @param fromOffset offset of the first record to read, from 1
   * @param maxRecords maximum number of records to return
   * @param waitMillis maximum time to wait if there is no record yet
   * @return a future with the available records; fails with {@link
   *     org.peridotroute.errors.RecordsExpiredException} if the offset is past retention
   */
  CompletableFuture<LogPage> read(String stream, long fromOffset, int maxRecords, long waitMillis);
}
