package org.peridotroute.bench.fuzz;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.peridotroute.errors.LogUnavailableException;
import org.peridotroute.errors.RecordFormatException;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.RecordCodec;
import org.peridotroute.platform.LogPage;
import org.peridotroute.standin.LogStandIn;

/** The stand-in log with appends that come late. Used by one thread. */
final class FuzzLog {
  static final String JOURNAL = "journal";
  static final String CONFIG = "config";

  private final LogStandIn log = new LogStandIn();
  private final Deque<LateAppend> late = new ArrayDeque<>();
  private boolean nextIsLate;
  private boolean nextAnswerIsLost;
  private boolean down;

  /** An append that its writer takes for lost. */
  private record LateAppend(String stream, List<String> records) {}

  void append(String stream, List<String> records) {
    if (nextIsLate && !down) {
      nextIsLate = false;
      late.add(new LateAppend(stream, records));
      throw new LogUnavailableException("the log", "no answer in time");
    }
    var unused = log.append(stream, records);
    if (nextAnswerIsLost) {
      nextAnswerIsLost = false;
      throw new LogUnavailableException("the log", "the answer was lost");
    }
  }

  List<LogEntry> read(String stream, long fromOffset, int max) {
    LogPage page = log.read(stream, fromOffset, max);
    List<LogEntry> entries = new ArrayList<>(page.records().size());
    for (String text : page.records()) {
      entries.add(decode(stream, fromOffset + entries.size(), text));
    }
    return entries;
  }

  void makeNextLate() {
    nextIsLate = true;
  }

  /** Takes the oldest late append, if there is one and the log is up. */
  void takeLate() {
    if (!down && !late.isEmpty()) {
      LateAppend append = late.poll();
      var unused = log.append(append.stream(), append.records());
    }
  }

  void loseNextAnswer() {
    nextAnswerIsLost = true;
  }

  void setDown(boolean value) {
    down = value;
    log.setDown(value);
  }

  boolean isDown() {
    return down;
  }

  private static LogEntry decode(String stream, long offset, String text) {
    try {
      return RecordCodec.decode(stream, offset, text);
    } catch (RecordFormatException e) {
      throw new IllegalStateException("a record of our own does not decode", e);
    }
  }
}
