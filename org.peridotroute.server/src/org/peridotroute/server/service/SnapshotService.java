package org.peridotroute.server.service;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.peridotroute.errors.LogUnavailableException;
import org.peridotroute.server.client.SnapshotStore;
import org.peridotroute.snapshot.Snapshot;

/**
 * Writes snapshots on a thread of its own, on the VM that plans: after so many records, and after
 * so much time, whichever comes first.
 */
public final class SnapshotService {
  private static final System.Logger LOGGER = System.getLogger(SnapshotService.class.getName());
  private static final long CHECK_MILLIS = 1_000;

  private final SnapshotStore store;
  private final FoldedState state;
  private final BooleanSupplier isDuty;
  private final String idPrefix;
  private final long everyRecords;
  private final long everyMillis;
  private final Thread thread = new Thread(this::run, "snapshot");
  private volatile long lastOffset = -1;
  private long lastMillis;

  /**
   * Creates the service.
   *
   * @param store where snapshots go
   * @param state the folded state
   * @param isDuty whether this VM is the one to write them
   * @param idPrefix what their ids begin with, unique to this run of the process
   * @param everyRecords records of the journal after which one is due
   * @param everyMillis time after which one is due
   */
  public SnapshotService(
      SnapshotStore store,
      FoldedState state,
      BooleanSupplier isDuty,
      String idPrefix,
      long everyRecords,
      long everyMillis) {
    this.store = store;
    this.state = state;
    this.isDuty = isDuty;
    this.idPrefix = idPrefix;
    this.everyRecords = everyRecords;
    this.everyMillis = everyMillis;
    thread.setDaemon(true);
  }

  /** Starts writing, at the earliest when so much time or so many records have passed. */
  public void start() {
    lastOffset = state.jobs().offset();
    lastMillis = nowMillis();
    thread.start();
  }

  /** Stops writing; a snapshot under way is left unfinished. */
  public void stop() {
    thread.interrupt();
  }

  /** Returns the journal offset of the last snapshot that this VM wrote. */
  public long lastOffset() {
    return lastOffset;
  }

  private void run() {
    try {
      while (true) {
        Thread.sleep(CHECK_MILLIS);
        if (isDuty.getAsBoolean() && isDue()) {
          write();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean isDue() {
    return state.jobs().offset() - lastOffset >= everyRecords
        || nowMillis() - lastMillis >= everyMillis;
  }

  private void write() throws InterruptedException {
    Snapshot snapshot = state.snapshot();
    long offset = snapshot.jobs().offset();
    lastMillis = nowMillis();
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
