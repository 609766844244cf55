package org.peridotroute.server.client;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.peridotroute.errors.LogUnavailableException;
import org.peridotroute.errors.RecordsExpiredException;
import org.peridotroute.platform.LogClient;
import org.peridotroute.platform.LogPage;
import org.peridotroute.snapshot.Snapshot;
import org.peridotroute.snapshot.SnapshotAssembler;
import org.peridotroute.snapshot.SnapshotChunk;
import org.peridotroute.snapshot.SnapshotCodec;

/** Stores snapshots in a stream of the platform's log. Methods block. Thread-safe. */
public final class SnapshotStore {
  private static final String STREAM = "snapshots";

  /** Maximum number of records per read when searching backwards for the newest snapshot. */
  private static final int WINDOW_RECORDS = 32;

  /** Offset beyond the end of the stream; a read from it returns only the stream's bounds. */
  private static final long BEYOND_END = Long.MAX_VALUE / 2;

  private final LogClient log;

  /**
   * Creates a store.
   *
   * @param log client of the log
   */
  public SnapshotStore(LogClient log) {
    this.log = log;
  }

  /**
   * Writes a snapshot with one append per chunk.
   *
   * @param id unique id of the snapshot
   * @param snapshot the snapshot
   * @return total size of the chunks in bytes
   * @throws LogUnavailableException if an append fails; some chunks may have been written
   * @throws InterruptedException if interrupted while waiting
   */
  public long write(String id, Snapshot snapshot) throws InterruptedException {
    long bytes = 0;
    for (String text : SnapshotCodec.split(id, snapshot, SnapshotChunk.MAX_DATA_BYTES)) {
      try {
        var unused = log.append(STREAM, List.of(text)).get();
        bytes += text.length();
      } catch (ExecutionException e) {
        throw new LogUnavailableException(STREAM, e.getCause().getMessage());
      }
    }
    return bytes;
  }

  /**
   * Reads the newest complete snapshot, searching backwards from the end of the stream.
   *
   * @return the snapshot, empty if there is none
   * @throws LogUnavailableException if a read fails
   * @throws InterruptedException if interrupted while waiting
   */
  public Optional<Snapshot> readNewest() throws InterruptedException {
    LogPage end = read(BEYOND_END);
    SnapshotAssembler assembler = new SnapshotAssembler();
    long to = end.endOffset();
    while (to > end.earliestOffset() && assembler.newest().isEmpty()) {
      long from = Math.max(end.earliestOffset(), to - WINDOW_RECORDS);
      readRange(from, to, assembler);
      to = from;
    }
    return assembler.newest();
  }

  private void readRange(long from, long to, SnapshotAssembler assembler)
      throws InterruptedException {
    long next = from;
    while (next < to) {
      LogPage page = read(next);
      if (page.records().isEmpty()) {
        return;
      }
      page.records().stream().limit(to - next).forEach(assembler::add);
      next += page.records().size();
    }
  }

  private LogPage read(long from) throws InterruptedException {
    try {
      return log.read(STREAM, from, WINDOW_RECORDS, 0).get();
    } catch (ExecutionException | CompletionException e) {
      if (e.getCause() instanceof RecordsExpiredException expired) {
        return read(expired.earliestOffset());
      }
      throw new LogUnavailableException(STREAM, e.getCause().getMessage());
    }
  }
}
