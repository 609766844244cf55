package org.peridotroute.server.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes sent to and received from peers. Thread-safe. */
public final class TrafficCounter {
  private final LongAdder bytes = new LongAdder();

  void add(int count) {
    bytes.add(count);
  }

  /** Returns the number of bytes sent and received since the start. */
  public long bytes() {
    return bytes.sum();
  }
}
