package org.peridotroute.server.service;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.peridotroute.errors.LogUnavailableException;
import org.peridotroute.server.client.SnapshotStore;
import org.peridotroute.snapshot.Snapshot;

/**
 * Writes snapshots on its own thread, but only on the VM that holds the planner role. A snapshot is
 * due after a number of records or after an interval, whichever comes first.
 */
public final class SnapshotService {
  private static final System.Logger LOGGER = System.getLogger(SnapshotService.class.getName());
  private static final long CHECK_MILLIS = 1_000;

  private final SnapshotStore store;
  private final FoldedState state;
  private final BooleanSupplier isWriter;
  private final String idPrefix;
  private final long intervalRecords;
  private final long intervalMillis;
  private final Thread thread = new Thread(this::run, "snapshot");
  private volatile long lastOffset = -1;
  private long lastAttemptMillis;

  /**
   * Creates the service.
   *
   * @param store writes snapshots to the log
   * @param state the current state
   * @param isWriter whether this VM currently writes the snapshots
   * @param idPrefix prefix of snapshot ids; unique to this run of the process
   * @param intervalRecords number of journal records after which a snapshot is due
   * @param intervalMillis time after which a snapshot is due
   */
  public SnapshotService(
      SnapshotStore store,
      FoldedState state,
      BooleanSupplier isWriter,
      String idPrefix,
      long intervalRecords,
      long intervalMillis) {
    this.store = store;
    this.state = state;
    this.isWriter = isWriter;
    this.idPrefix = idPrefix;
    this.intervalRecords = intervalRecords;
    this.intervalMillis = intervalMillis;
    thread.setDaemon(true);
  }

  /** Starts the service. The first snapshot is due one interval after the start. */
  public void start() {
    lastOffset = state.jobs().offset();
    lastAttemptMillis = nowMillis();
    thread.start();
  }

  /** Stops the service; a snapshot that is being written stays incomplete. */
  public void stop() {
    thread.interrupt();
  }

  /** Returns the journal offset of the last snapshot written, or of the state at the start. */
  public long lastOffset() {
    return lastOffset;
  }

  private void run() {
    try {
      while (true) {
        Thread.sleep(CHECK_MILLIS);
        if (isWriter.getAsBoolean() && isDue()) {
          write();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean isDue() {
    return state.jobs().offset() - lastOffset >= intervalRecords
        || nowMillis() - lastAttemptMillis >= intervalMillis;
  }

  private void write() throws InterruptedException {
    Snapshot snapshot = state.snapshot();
    long offset = snapshot.jobs().offset();
    lastAttemptMillis = nowMillis();
    try {
      long bytes = store.write(idPrefix + "-" + offset, snapshot);
      lastOffset = offset;
      Event.of("snapshot-written")
          .with("offset", offset)
          .with("bytes", bytes)
          .log(LOGGER, System.Logger.Level.INFO);
    } catch (LogUnavailableException e) {
      Event.of("snapshot-failed")
          .with("offset", offset)
          .with("reason", e.getMessage())
          .log(LOGGER, System.Logger.Level.WARNING);
    }
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
