package org.peridotroute.server.service;

import java.util.concurrent.ExecutionException;
import org.peridotroute.lib.Directory;
import org.peridotroute.platform.DirectoryClient;

/**
 * Polls the platform's directory on its own thread. Keeps the last successful reply if a read
 * fails.
 */
public final class DirectoryService {
  private static final System.Logger LOGGER = System.getLogger(DirectoryService.class.getName());

  private final DirectoryClient client;
  private final ProcessHealth health;
  private final long intervalMillis;
  private final Runnable onChange;
  private final Thread thread = new Thread(this::run, "directory");
  private volatile Directory directory = Directory.EMPTY;
  private boolean failing;

  /**
   * Creates the service.
   *
   * @param client reads the directory
   * @param health updated when the directory has been read
   * @param intervalMillis time between two reads
   * @param onChange called on the service's thread when the directory has changed
   */
  public DirectoryService(
      DirectoryClient client, ProcessHealth health, long intervalMillis, Runnable onChange) {
    this.client = client;
    this.health = health;
    this.intervalMillis = intervalMillis;
    this.onChange = onChange;
    thread.setDaemon(true);
  }

  /** Starts polling. */
  public void start() {
    thread.start();
  }

  /** Stops polling. */
  public void stop() {
    thread.interrupt();
  }

  /** Returns the directory as last read; empty before the first successful read. */
  public Directory directory() {
    return directory;
  }

  private void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        poll();
        Thread.sleep(intervalMillis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void poll() throws InterruptedException {
    try {
      Directory latest = client.read().get();
      failing = false;
      if (!latest.equals(directory)) {
        directory = latest;
        onChange.run();
      }
      health.onDirectoryRead();
    } catch (ExecutionException e) {
      if (!failing) {
        failing = true;
        Event.of("list-read-failed")
            .with("reason", e.getCause().getMessage())
            .log(LOGGER, System.Logger.Level.WARNING);
      }
    }
  }
}
