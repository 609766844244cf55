package org.peridotroute.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.errors.LogUnavailableException;
import org.peridotroute.errors.RecordsExpiredException;
import org.peridotroute.platform.LogPage;

/** The append-only log in memory, with faults. Safe for use by several threads. */
public final class LogStandIn {
  private static final String ADDRESS = "the stand-in";

  private final Map<String, Stream> streams = new HashMap<>();
  private boolean down;
  private int answersToLose;
  private long appends;

  /** Records of one stream. */
  private static final class Stream {
    private final List<String> records = new ArrayList<>();
    private long firstOffset = 1;

    long end() {
      return firstOffset + records.size();
    }
  }

  /**
   * Appends records.
   *
   * @param stream the stream
   * @param records their texts
   * @return the offset of the first
   * @throws LogUnavailableException if the log is down, or if the answer is to be lost
   */
  public synchronized long append(String stream, List<String> records) {
    failIfDown();
    Stream target = streams.computeIfAbsent(stream, name -> new Stream());
    long first = target.end();
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
   * Reads records.
   *
   * @param stream the stream
   * @param fromOffset the first offset wanted
   * @param maxRecords the most records wanted
   * @return what is there
   * @throws LogUnavailableException if the log is down
   * @throws RecordsExpiredException if the offset is past retention
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
        fromOffset, source.records.subList(from, to), source.firstOffset, source.end());
  }

  /**
   * Waits until a stream has a record at an offset.
   *
   * @param stream the stream
   * @param offset the offset
   * @param waitMillis the longest wait
   */
  public synchronized void await(String stream, long offset, long waitMillis) {
    long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
    Stream source = streams.computeIfAbsent(stream, name -> new Stream());
    while (!down && source.end() <= offset) {
      long leftMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
      if (leftMillis <= 0) {
        return;
      }
      try {
        wait(leftMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /**
   * Drops all but the newest records of a stream, as retention does.
   *
   * @param stream the stream
   * @param keep how many to keep
   */
  public synchronized void retain(String stream, int keep) {
    Stream source = streams.computeIfAbsent(stream, name -> new Stream());
    retainFrom(stream, source.end() - keep);
  }

  /**
   * Drops all records of a stream before an offset, as retention does.
   *
   * @param stream the stream
   * @param offset the first offset to keep
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
   * Takes the log down or brings it back.
   *
   * @param value whether it is down
   */
  public synchronized void setDown(boolean value) {
    down = value;
    notifyAll();
  }

  /**
   * Loses the answers of the next appends, which take effect all the same.
   *
   * @param count how many
   */
  public synchronized void loseAnswers(int count) {
    answersToLose = count;
  }

  /** Returns the number of appends so far. */
  public synchronized long appends() {
    return appends;
  }

  private void failIfDown() {
    if (down) {
      throw new LogUnavailableException(ADDRESS, "the log is down");
    }
  }
}
