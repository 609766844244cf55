package org.peridotroute.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.errors.LogUnavailableException;
import org.peridotroute.errors.RecordsExpiredException;
import org.peridotroute.platform.LogPage;

/** In-memory append-only log with injectable faults. Thread-safe. */
public final class LogStandIn {
  private static final String ADDRESS = "the stand-in";

  private final Map<String, Stream> streams = new HashMap<>();
  private boolean down;
  private int answersToLose;
  private long appends;

  /** Retained records of one stream. Offsets start at 1. */
  private static final class Stream {
    private final List<String> records = new ArrayList<>();
    private long firstOffset = 1;

    long endOffset() {
      return firstOffset + records.size();
    }
  }

  /**
   * Appends records to a stream.
   *
   * @param stream name of the stream, which is created if absent
   * @param records the encoded records
   * @return the offset of the first record
   * @throws LogUnavailableException if the log is down, or if the append took effect but its answer
   *     is lost
   */
  public synchronized long append(String stream, List<String> records) {
    failIfDown();
    Stream target = streams.computeIfAbsent(stream, name -> new Stream());
    long first = target.endOffset();
    target.records.addAll(records);
    appends++;
    notifyAll();
    if (answersToLose > 0) {
      answersToLose--;
      throw new LogUnavailableException(ADDRESS, "the answer was lost after the append");
    }
    return first;
  }

  /**
   * Reads records from a stream.
   *
   * @param stream name of the stream, which is created if absent
   * @param fromOffset offset of the first record to read
   * @param maxRecords maximum number of records to return
   * @return the records, none if the stream ends at or before the offset
   * @throws LogUnavailableException if the log is down
   * @throws RecordsExpiredException if retention has dropped the record at the offset
   */
  public synchronized LogPage read(String stream, long fromOffset, int maxRecords) {
    failIfDown();
    Stream source = streams.computeIfAbsent(stream, name -> new Stream());
    if (fromOffset < source.firstOffset) {
      throw new RecordsExpiredException(stream, fromOffset, source.firstOffset);
    }
    int from = (int) Math.min(fromOffset - source.firstOffset, source.records.size());
    int to = Math.min(from + maxRecords, source.records.size());
    return new LogPage(
        fromOffset, source.records.subList(from, to), source.firstOffset, source.endOffset());
  }

  /**
   * Waits until a stream has a record at an offset, the log goes down, the wait times out or the
   * thread is interrupted.
   *
   * @param stream name of the stream
   * @param offset offset of the awaited record
   * @param waitMillis timeout
   */
  public synchronized void await(String stream, long offset, long waitMillis) {
    long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
    Stream source = streams.computeIfAbsent(stream, name -> new Stream());
    while (!down && source.endOffset() <= offset) {
      long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
      if (remainingMillis <= 0) {
        return;
      }
      try {
        wait(remainingMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /**
   * Drops all but the newest records of a stream, as retention does.
   *
   * @param stream name of the stream
   * @param keep number of records to keep
   */
  public synchronized void retain(String stream, int keep) {
    Stream source = streams.computeIfAbsent(stream, name -> new Stream());
    retainFrom(stream, source.endOffset() - keep);
  }

  /**
   * Drops all records of a stream before an offset, as retention does.
   *
   * @param stream name of the stream
   * @param offset offset of the first record to keep
   */
  public synchronized void retainFrom(String stream, long offset) {
    Stream source = streams.computeIfAbsent(stream, name -> new Stream());
    long drop = Math.min(source.records.size(), offset - source.firstOffset);
    if (drop > 0) {
      source.records.subList(0, (int) drop).clear();
      source.firstOffset += drop;
    }
  }

  /**
   * Takes the log down or brings it back up. Going down ends all waits.
   *
   * @param value whether the log is down
   */
  public synchronized void setDown(boolean value) {
    down = value;
    notifyAll();
  }

  /**
   * Makes the next appends take effect but report a failure.
   *
   * @param count number of appends
   */
  public synchronized void loseAnswers(int count) {
    answersToLose = count;
  }

  /**
   * Returns the number of successful appends since creation, including those with a lost answer.
   */
  public synchronized long appends() {
    return appends;
  }

  private void failIfDown() {
    if (down) {
      throw new LogUnavailableException(ADDRESS, "the log is down");
    }
  }
}
