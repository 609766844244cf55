package org.peridotroute.scheduler.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The newest load summaries, with the time at which this VM read each. Thread-safe. */
public final class LoadHistory {
  /**
   * Age from which a summary says nothing any more. A needless wait costs a caller less than a
   * needless refusal.
   */
  private static final long MAX_AGE_MILLIS = 2_000;

  /** Time over which a state must have lasted, so that a short burst refuses nobody. */
  private static final long LASTING_MILLIS = 1_000;

  private record Received(LoadSummary summary, long atMillis) {}

  private final Deque<Received> received = new ArrayDeque<>();

  /**
   * Adds a summary that was read at the given steady time. A summary that is not newer than the
   * last one is ignored, since the log may deliver a record again.
   */
  public synchronized void add(LoadSummary summary, long nowMillis) {
    if (!received.isEmpty() && !isNewer(summary, received.getLast().summary())) {
      return;
    }
    received.addLast(new Received(summary, nowMillis));
    while (received.size() > 2 && nowMillis - second().atMillis() >= LASTING_MILLIS) {
      received.removeFirst();
    }
  }

  private static boolean isNewer(LoadSummary summary, LoadSummary than) {
    return summary.epoch() > than.epoch()
        || (summary.epoch() == than.epoch() && summary.version() > than.version());
  }

  private Received second() {
    return received.stream().skip(1).findFirst().orElseThrow();
  }

  /**
   * Returns the newest summary, with the load of a queue that has lasted: the least wait of all
   * summaries since a second before the newest.
   *
   * @param queue the queue
   * @param nowMillis steady time
   * @return the load, or empty if the newest summary is too old, if the summaries do not reach back
   *     far enough, or if no work of the queue waited in one of them
   */
  public synchronized Optional<Lasting> lasting(String queue, long nowMillis) {
    Received newest = received.peekLast();
    if (newest == null
        || nowMillis - newest.atMillis() > MAX_AGE_MILLIS
        || newest.atMillis() - received.getFirst().atMillis() < LASTING_MILLIS) {
      return Optional.empty();
    }
    long leastWaitMillis = Long.MAX_VALUE;
    for (Received entry : received) {
      Optional<QueueLoad> load = entry.summary().queue(queue);
      if (load.isEmpty()) {
        return Optional.empty();
      }
      leastWaitMillis = Math.min(leastWaitMillis, load.get().waitMillis());
    }
    return Optional.of(
        new Lasting(
            newest.summary(),
            nowMillis - newest.atMillis(),
            newest.summary().queue(queue).orElseThrow(),
            leastWaitMillis));
  }

  /**
   * Load of a queue that has lasted.
   *
   * @param summary the newest summary
   * @param ageMillis time since this VM read it
   * @param load load of the queue in it
   * @param leastWaitMillis least wait in the summaries of the last second
   */
  public record Lasting(
      LoadSummary summary, long ageMillis, QueueLoad load, long leastWaitMillis) {}
}
