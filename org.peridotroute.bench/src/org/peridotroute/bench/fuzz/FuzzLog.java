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

/** The stand-in log with delayed appends, lost answers and snapshots. Used by one thread. */
final class FuzzLog {
  static final String JOURNAL = "journal";
  static final String CONFIG = "config";

  private static final String SNAPSHOTS = "snapshots";
  private static final int SNAPSHOT_CHUNK_BYTES = 600;

  private int snapshotCount;
  private final LogStandIn log = new LogStandIn();
  private final Deque<LateAppend> lateAppends = new ArrayDeque<>();
  private boolean delaysNextAppend;
  private boolean losesNextAnswer;
  private boolean down;

  /** An append that has timed out for its writer but not yet taken effect. */
  private record LateAppend(String stream, List<String> records) {}

  void append(String stream, List<String> records) {
    if (delaysNextAppend && !down) {
      delaysNextAppend = false;
      lateAppends.add(new LateAppend(stream, records));
      throw new LogUnavailableException("the log", "no answer in time");
    }
    var unused = log.append(stream, records);
    if (losesNextAnswer) {
      losesNextAnswer = false;
      throw new LogUnavailableException("the log", "the answer was lost");
    }
  }

  List<LogEntry> read(String stream, long fromOffset, int maxRecords) {
    LogPage page = log.read(stream, fromOffset, maxRecords);
    List<LogEntry> entries = new ArrayList<>(page.records().size());
    for (String encoded : page.records()) {
      entries.add(decode(stream, fromOffset + entries.size(), encoded));
    }
    return entries;
  }

  /** Makes the next append time out and take effect late. */
  void delayNextAppend() {
    delaysNextAppend = true;
  }

  /** Applies the oldest late append, if there is one and the log is up. */
  void applyLateAppend() {
    if (!down && !lateAppends.isEmpty()) {
      LateAppend append = lateAppends.poll();
      var unused = log.append(append.stream(), append.records());
    }
  }

  /** Makes the next append take effect but report a failure. */
  void loseNextAnswer() {
    losesNextAnswer = true;
  }

  void setDown(boolean value) {
    down = value;
    log.setDown(value);
  }

  boolean isDown() {
    return down;
  }

  private static LogEntry decode(String stream, long offset, String encoded) {
    try {
      return RecordCodec.decode(stream, offset, encoded);
    } catch (RecordFormatException e) {
      throw new IllegalStateException(
          "record at offset " + offset + " of stream " + stream + " does not decode", e);
    }
  }

  /** Writes a snapshot, without its last chunk unless it is to be complete. */
  void writeSnapshot(Snapshot snapshot, boolean complete) {
    snapshotCount++;
    List<String> chunks = SnapshotCodec.split("s" + snapshotCount, snapshot, SNAPSHOT_CHUNK_BYTES);
    List<String> writtenChunks = complete ? chunks : chunks.subList(0, chunks.size() - 1);
    var unused = log.append(SNAPSHOTS, writtenChunks);
  }

  /** Returns the newest complete snapshot, or the empty one if there is none. */
  Snapshot readSnapshot() {
    SnapshotAssembler assembler = new SnapshotAssembler();
    log.read(SNAPSHOTS, 1, Integer.MAX_VALUE).records().forEach(assembler::add);
    return assembler.newest().orElse(Snapshot.EMPTY);
  }

  /** Drops the records that the newest complete snapshot covers, as retention does. */
  void dropSnapshottedRecords() {
    if (down) {
      return;
    }
    Snapshot snapshot = readSnapshot();
    log.retainFrom(JOURNAL, snapshot.jobs().offset() + 1);
    log.retainFrom(CONFIG, snapshot.config().offset() + 1);
  }
}
