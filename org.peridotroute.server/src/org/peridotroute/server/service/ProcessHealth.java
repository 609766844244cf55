package org.peridotroute.server.service;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Tracks whether the process is ready, and if not, why. Thread-safe. */
public final class ProcessHealth {
  private volatile boolean journalCaughtUp;
  private volatile boolean configCaughtUp;
  private volatile boolean directoryRead;
  private volatile boolean leaving;
  private volatile long readFailingSinceNanos;
  private volatile String haltReason;

  /** Returns the reasons why the process is not ready; empty if it is ready. */
  public List<String> notReadyReasons() {
    List<String> reasons = new ArrayList<>();
    if (haltReason != null) {
      reasons.add(haltReason);
    }
    if (leaving) {
      reasons.add("leaving");
    }
    if (!journalCaughtUp) {
      reasons.add("the journal has not been read to its end yet");
    }
    if (!configCaughtUp) {
      reasons.add("the configuration has not been read to its end yet");
    }
    if (!directoryRead) {
      reasons.add("the platform's directory has not been read yet");
    }
    return reasons;
  }

  /**
   * Returns how long reads of the log have been failing.
   *
   * @return milliseconds since the first failed read, 0 while reads succeed
   */
  public long logReadFailureMillis() {
    long sinceNanos = readFailingSinceNanos;
    return sinceNanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
  }

  /** Returns whether the state is up to date, so that the process may act on it. */
  public boolean canAct() {
    return haltReason == null && journalCaughtUp && configCaughtUp && directoryRead;
  }

  /** Returns whether a planned stop has begun. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Marks the beginning of a planned stop. */
  public void markLeaving() {
    leaving = true;
  }

  /**
   * Stops the process from acting permanently, because its state can no longer be brought up to
   * date.
   *
   * @param reason the reason to report
   */
  public void halt(String reason) {
    haltReason = reason;
  }

  void onReadSucceeded() {
    readFailingSinceNanos = 0;
  }

  void onReadFailed() {
    if (readFailingSinceNanos == 0) {
      readFailingSinceNanos = System.nanoTime();
    }
  }

  void onJournalCaughtUp() {
    journalCaughtUp = true;
  }

  void onConfigCaughtUp() {
    configCaughtUp = true;
  }

  void onDirectoryRead() {
    directoryRead = true;
  }
}
