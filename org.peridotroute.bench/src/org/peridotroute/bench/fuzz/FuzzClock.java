package org.peridotroute.bench.fuzz;

/** Virtual clock. Used by one thread. */
final class FuzzClock {
  private long nowMillis = 1_000;

  long nowMillis() {
    return nowMillis;
  }

  void advance(long millis) {
    nowMillis += millis;
  }
}
