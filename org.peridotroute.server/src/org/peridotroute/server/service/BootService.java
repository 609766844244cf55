package org.peridotroute.server.service;

import java.util.Optional;
import java.util.function.Consumer;
import org.peridotroute.errors.LogUnavailableException;
import org.peridotroute.server.client.SnapshotStore;
import org.peridotroute.server.peer.PeerService;
import org.peridotroute.snapshot.Snapshot;

/**
 * Gets the state of an empty VM on a thread of its own: from the newest snapshot on the log, or
 * with the log down from a peer. Until one of them has answered the VM has no state and is not
 * ready; state is never guessed.
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
   * @param store snapshots on the log
   * @param peers the other VMs
   * @param health told that there is state
   * @param onState takes the state, once
   */
  public BootService(
      SnapshotStore store, PeerService peers, ProcessHealth health, Consumer<Snapshot> onState) {
    this.store = store;
    this.peers = peers;
    this.health = health;
    this.onState = onState;
    thread.setDaemon(true);
  }

  /** Starts looking for state. */
  public void start() {
    thread.start();
  }

  /** Stops looking. */
  public void stop() {
    thread.interrupt();
  }

  private void run() {
    try {
      while (!fromLog() && !fromPeers()) {
        Thread.sleep(RETRY_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean fromLog() throws InterruptedException {
    try {
      accept(store.readNewest().orElse(Snapshot.EMPTY), "log");
      return true;
    } catch (LogUnavailableException e) {
      return false;
    }
  }

  /** Takes a peer's state as whole: with the log down nothing newer can have been accepted. */
  private boolean fromPeers() throws InterruptedException {
    Optional<Snapshot> snapshot = peers.requestState();
    if (snapshot.isEmpty()) {
      return false;
    }
    accept(snapshot.get(), "peer");
    health.journalCaughtUp();
    health.configCaughtUp();
    return true;
  }

  private void accept(Snapshot snapshot, String source) {
    Event.of("booted")
        .with("source", source)
        .with("journalOffset", snapshot.jobs().offset())
        .with("configOffset", snapshot.config().offset())
        .log(LOGGER, System.Logger.Level.INFO);
    onState.accept(snapshot);
  }
}
