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

/** Tails one stream on a thread of its own and hands decoded records on, in order. */
public final class StreamReader {
  private static final System.Logger LOGGER = System.getLogger(StreamReader.class.getName());
  private static final int MAX_RECORDS = 500;
  private static final long WAIT_MILLIS = 5_000;
  private static final long RETRY_MILLIS = 200;
  private static final long STOP_MILLIS = 1_000;

  private final String stream;
  private final LogClient log;
  private final ProcessHealth health;
  private final Consumer<ReadBatch> next;
  private final Expiry expiry;
  private final Thread thread;
  private long offset;
  private boolean atEnd;
  private boolean failing;
  private volatile boolean stopped;

  /**
   * Records read in one go.
   *
   * @param stream the stream
   * @param entries the records
   * @param endOffset offset that the next appended record will get
   * @param snapshot state to take over first, null where the records follow on what was read
   */
  public record ReadBatch(
      String stream, List<LogEntry> entries, long endOffset, Snapshot snapshot) {
    /** Copies the list. */
    public ReadBatch {
      entries = List.copyOf(entries);
    }
  }

  /** What to do when the records wanted next are past retention. */
  public interface Expiry {
    /**
     * Takes state over from a snapshot.
     *
     * @param stream the stream that cannot be read on
     * @return the offset to read on from, 0 if there is no snapshot that reaches far enough
     * @throws InterruptedException if interrupted while waiting
     */
    long reload(String stream) throws InterruptedException;
  }

  /**
   * Creates a reader.
   *
   * @param stream the stream
   * @param log the log
   * @param health told when the stream cannot be read on
   * @param next takes what is read; blocks while it has no room
   * @param expiry what to do when records are past retention
   */
  public StreamReader(
      String stream, LogClient log, ProcessHealth health, Consumer<ReadBatch> next, Expiry expiry) {
    this.stream = stream;
    this.log = log;
    this.health = health;
    this.next = next;
    this.expiry = expiry;
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
      thread.join(STOP_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    while (!stopped) {
      try {
        hand(log.read(stream, offset, MAX_RECORDS, atEnd ? WAIT_MILLIS : 0).get());
        failing = false;
        health.readSucceeded();
      } catch (RecordFormatException e) {
        halt(e.getMessage());
      } catch (InterruptedException e) {
        return;
      } catch (ExecutionException | CompletionException e) {
        onFailure(e.getCause());
      }
    }
  }

  private void hand(LogPage page) throws RecordFormatException {
    List<LogEntry> entries = new ArrayList<>(page.records().size());
    for (String text : page.records()) {
      entries.add(RecordCodec.decode(stream, offset + entries.size(), text));
    }
    next.accept(new ReadBatch(stream, entries, page.endOffset(), null));
    offset = offset + entries.size();
    atEnd = offset >= page.endOffset();
  }

  private void onExpired(RecordsExpiredException expired) {
    try {
      long reloaded = expiry.reload(stream);
      if (reloaded < expired.earliestOffset()) {
        halt(expired.getMessage());
      } else {
        offset = reloaded;
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
    health.readFailed();
    if (!failing) {
      failing = true;
      Event.of("log-read-failed")
          .with("stream", stream)
          .with("reason", failure.getMessage())
          .log(LOGGER, System.Logger.Level.WARNING);
    }
    pause();
  }

  private void halt(String reason) {
    health.halt(reason);
    stopped = true;
    Event.of("halted").with("reason", reason).log(LOGGER, System.Logger.Level.ERROR);
  }

  private void pause() {
    try {
      Thread.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      stopped = true;
    }
  }
}
