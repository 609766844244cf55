package org.peridotroute.server.service;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Whether the process takes part, and why not. Safe for use by several threads. */
public final class ProcessHealth {
  private volatile boolean journalCaughtUp;
  private volatile boolean configCaughtUp;
  private volatile boolean directoryRead;
  private volatile boolean leaving;
  private volatile long readFailingSinceNanos;
  private volatile String haltReason;

  /** Returns why the process is not ready; empty if it is. */
  public List<String> notReadyReasons() {
    List<String> reasons = new ArrayList<>();
    if (haltReason != null) {
      reasons.add(haltReason);
    }
    if (leaving) {
      reasons.add("leaving");
    }
    if (!journalCaughtUp) {
      reasons.add("the journal was not read to its end yet");
    }
    if (!configCaughtUp) {
      reasons.add("the configuration was not read to its end yet");
    }
    if (!directoryRead) {
      reasons.add("the platform's list was not read yet");
    }
    return reasons;
  }

  /**
   * Returns how long the log has given nothing, in milliseconds.
   *
   * @return the time since the first failed read, 0 while reads succeed
   */
  public long logReadFailureMillis() {
    long since = readFailingSinceNanos;
    return since == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since);
  }

  /** Returns whether state is whole, so that the process may act on it. */
  public boolean canAct() {
    return haltReason == null && journalCaughtUp && configCaughtUp && directoryRead;
  }

  /** Returns whether a planned stop is under way. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Tells that the process is about to stop. */
  public void leave() {
    leaving = true;
  }

  /**
   * Tells that the process must take no part any more.
   *
   * @param reason why
   */
  public void halt(String reason) {
    haltReason = reason;
  }

  void readSucceeded() {
    readFailingSinceNanos = 0;
  }

  void readFailed() {
    if (readFailingSinceNanos == 0) {
      readFailingSinceNanos = System.nanoTime();
    }
  }

  void journalCaughtUp() {
    journalCaughtUp = true;
  }

  void configCaughtUp() {
    configCaughtUp = true;
  }

  void directoryRead() {
    directoryRead = true;
  }
}
