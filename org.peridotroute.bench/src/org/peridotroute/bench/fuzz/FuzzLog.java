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
import org.peridotroute.snapshot.Snapshot;
import org.peridotroute.snapshot.SnapshotAssembler;
import org.peridotroute.snapshot.SnapshotCodec;
import org.peridotroute.standin.LogStandIn;

/** The stand-in log with appends that come late. Used by one thread. */
final class FuzzLog {
  static final String JOURNAL = "journal";
  static final String CONFIG = "config";

  private static final String SNAPSHOTS = "snapshots";
  private static final int SNAPSHOT_CHUNK_BYTES = 600;

  private int snapshots;
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

  /** Writes a snapshot, or only so much of it. */
  void writeSnapshot(Snapshot snapshot, boolean whole) {
    snapshots++;
    List<String> chunks = SnapshotCodec.split("s" + snapshots, snapshot, SNAPSHOT_CHUNK_BYTES);
    List<String> written = whole ? chunks : chunks.subList(0, chunks.size() - 1);
    var unused = log.append(SNAPSHOTS, written);
  }

  /** Returns the newest whole snapshot, or the empty one. */
  Snapshot readSnapshot() {
    SnapshotAssembler assembler = new SnapshotAssembler();
    log.read(SNAPSHOTS, 1, Integer.MAX_VALUE).records().forEach(assembler::add);
    return assembler.newest().orElse(Snapshot.EMPTY);
  }

  /** Drops what the newest whole snapshot covers. */
  void dropCovered() {
    if (down) {
      return;
    }
    Snapshot snapshot = readSnapshot();
    log.retainFrom(JOURNAL, snapshot.jobs().offset() + 1);
    log.retainFrom(CONFIG, snapshot.config().offset() + 1);
  }
}
