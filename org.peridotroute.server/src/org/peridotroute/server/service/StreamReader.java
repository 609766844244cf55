package org.peridotroute.server.service;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import org.peridotroute.errors.RecordFormatException;
import org.peridotroute.errors.RecordsExpiredException;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.RecordCodec;
import org.peridotroute.platform.LogClient;
import org.peridotroute.platform.LogPage;
import org.peridotroute.snapshot.Snapshot;

/** Reads one stream on its own thread and passes on its decoded records in order. */
public final class StreamReader {
  private static final System.Logger LOGGER = System.getLogger(StreamReader.class.getName());
  private static final int MAX_BATCH_RECORDS = 500;
  private static final long POLL_WAIT_MILLIS = 5_000;
  private static final long RETRY_MILLIS = 200;
  private static final long STOP_TIMEOUT_MILLIS = 1_000;

  private final String stream;
  private final LogClient log;
  private final ProcessHealth health;
  private final Consumer<ReadBatch> consumer;
  private final ExpiredRecordsHandler expiredRecordsHandler;
  private final Thread thread;
  private long offset;
  private boolean atEnd;
  private boolean failing;
  private volatile boolean stopped;

  /**
   * Records that were read with one request.
   *
   * @param stream the stream
   * @param entries the records
   * @param endOffset offset of the next record to be appended to the stream
   * @param snapshot the state to load before the records, or null if the records continue the
   *     previous batch
   */
  public record ReadBatch(
      String stream, List<LogEntry> entries, long endOffset, Snapshot snapshot) {
    /** Makes an immutable copy of the list. */
    public ReadBatch {
      entries = List.copyOf(entries);
    }
  }

  /** Handles the case that the next records have passed the log's retention. */
  public interface ExpiredRecordsHandler {
    /**
     * Loads the state from a snapshot.
     *
     * @param stream the stream whose next records have expired
     * @return the offset from which to continue, or 0 if no snapshot is available
     * @throws InterruptedException if interrupted while waiting
     */
    long reloadSnapshot(String stream) throws InterruptedException;
  }

  /**
   * Creates a reader.
   *
   * @param stream the stream
   * @param log the log
   * @param health updated with the outcome of reads
   * @param consumer receives each batch; blocks while its queue is full
   * @param expiredRecordsHandler called when the next records have passed the log's retention
   */
  public StreamReader(
      String stream,
      LogClient log,
      ProcessHealth health,
      Consumer<ReadBatch> consumer,
      ExpiredRecordsHandler expiredRecordsHandler) {
    this.stream = stream;
    this.log = log;
    this.health = health;
    this.consumer = consumer;
    this.expiredRecordsHandler = expiredRecordsHandler;
    thread = new Thread(this::run, "read-" + stream);
    thread.setDaemon(true);
  }

  /**
   * Starts reading.
   *
   * @param fromOffset the first offset to read
   */
  public void start(long fromOffset) {
    offset = fromOffset;
    thread.start();
  }

  /** Stops reading. */
  public void stop() {
    stopped = true;
    thread.interrupt();
    try {
      thread.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    while (!stopped) {
      try {
        deliver(log.read(stream, offset, MAX_BATCH_RECORDS, atEnd ? POLL_WAIT_MILLIS : 0).get());
        failing = false;
        health.onReadSucceeded();
      } catch (RecordFormatException e) {
        halt(e.getMessage());
      } catch (InterruptedException e) {
        return;
      } catch (ExecutionException | CompletionException e) {
        onFailure(e.getCause());
      }
    }
  }

  private void deliver(LogPage page) throws RecordFormatException {
    List<LogEntry> entries = new ArrayList<>(page.records().size());
    for (String text : page.records()) {
      entries.add(RecordCodec.decode(stream, offset + entries.size(), text));
    }
    consumer.accept(new ReadBatch(stream, entries, page.endOffset(), null));
    offset = offset + entries.size();
    atEnd = offset >= page.endOffset();
  }

  private void onExpired(RecordsExpiredException expired) {
    try {
      long nextOffset = expiredRecordsHandler.reloadSnapshot(stream);
      if (nextOffset < expired.earliestOffset()) {
        halt(expired.getMessage());
      } else {
        offset = nextOffset;
      }
    } catch (InterruptedException e) {
      stopped = true;
    }
  }

  private void onFailure(Throwable failure) {
    if (failure instanceof RecordsExpiredException expired) {
      onExpired(expired);
      return;
    }
    health.onReadFailed();
    if (!failing) {
      failing = true;
      Event.of("log-read-failed")
          .with("stream", stream)
          .with("reason", failure.getMessage())
          .log(LOGGER, System.Logger.Level.WARNING);
    }
    sleepBeforeRetry();
  }

  private void halt(String reason) {
    health.halt(reason);
    stopped = true;
    Event.of("halted").with("reason", reason).log(LOGGER, System.Logger.Level.ERROR);
  }

  private void sleepBeforeRetry() {
    try {
      Thread.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      stopped = true;
    }
  }
}
