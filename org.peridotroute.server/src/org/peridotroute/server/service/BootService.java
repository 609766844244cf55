package org.peridotroute.server.service;

import java.util.Optional;
import java.util.function.Consumer;
import org.peridotroute.errors.LogUnavailableException;
import org.peridotroute.server.client.SnapshotStore;
import org.peridotroute.server.peer.PeerService;
import org.peridotroute.snapshot.Snapshot;

/**
 * Loads the initial state of the process on its own thread: from the newest snapshot on the log, or
 * from a peer if the log is unavailable. Until one of these sources has replied, the process has no
 * state and is not ready; it never starts from an assumed state.
 */
public final class BootService {
  private static final System.Logger LOGGER = System.getLogger(BootService.class.getName());
  private static final long RETRY_MILLIS = 300;

  private final SnapshotStore store;
  private final PeerService peers;
  private final ProcessHealth health;
  private final Consumer<Snapshot> onState;
  private final Thread thread = new Thread(this::run, "boot");

  /**
   * Creates the service.
   *
   * @param store reads snapshots from the log
   * @param peers the other VMs
   * @param health updated when state from a peer is loaded
   * @param onState receives the state, once, on the service's thread
   */
  public BootService(
      SnapshotStore store, PeerService peers, ProcessHealth health, Consumer<Snapshot> onState) {
    this.store = store;
    this.peers = peers;
    this.health = health;
    this.onState = onState;
    thread.setDaemon(true);
  }

  /** Starts loading the state. */
  public void start() {
    thread.start();
  }

  /** Interrupts the loading. */
  public void stop() {
    thread.interrupt();
  }

  private void run() {
    try {
      while (!loadFromLog() && !loadFromPeers()) {
        Thread.sleep(RETRY_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean loadFromLog() throws InterruptedException {
    try {
      onLoaded(store.readNewest().orElse(Snapshot.EMPTY), "log");
      return true;
    } catch (LogUnavailableException e) {
      return false;
    }
  }

  /**
   * Loads a peer's state and treats it as up to date: while the log is unavailable, no newer record
   * can have been accepted.
   */
  private boolean loadFromPeers() throws InterruptedException {
    Optional<Snapshot> snapshot = peers.requestState();
    if (snapshot.isEmpty()) {
      return false;
    }
    onLoaded(snapshot.get(), "peer");
    health.onJournalCaughtUp();
    health.onConfigCaughtUp();
    return true;
  }

  private void onLoaded(Snapshot snapshot, String source) {
    Event.of("booted")
        .with("source", source)
        .with("journalOffset", snapshot.jobs().offset())
        .with("configOffset", snapshot.config().offset())
        .log(LOGGER, System.Logger.Level.INFO);
    onState.accept(snapshot);
  }
}
