package org.peridotroute.server.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes that go to and come from peers. Safe for use by several threads. */
public final class TrafficCounter {
  private final LongAdder bytes = new LongAdder();

  void add(int count) {
    bytes.add(count);
  }

  /** Returns the bytes so far, both ways. */
  public long bytes() {
    return bytes.sum();
  }
}
