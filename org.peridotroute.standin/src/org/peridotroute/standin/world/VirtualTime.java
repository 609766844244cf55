package org.peridotroute.standin.world;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.peridotroute.scheduler.port.Time;

/** Virtual time and what is due at which moment. Used by one thread. */
public final class VirtualTime implements Time {
  /** Wall clock at virtual time 0; any date does. */
  private static final long WALL_EPOCH_MILLIS = 1_700_000_000_000L;

  private record ScheduledAction(long atMillis, long order, Runnable action) {}

  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atMillis)
              .thenComparingLong(ScheduledAction::order));
  private long nowMillis = 1_000;
  private long order;

  @Override
  public long steadyMillis() {
    return nowMillis;
  }

  @Override
  public long wallMillis() {
    return WALL_EPOCH_MILLIS + nowMillis;
  }

  /**
   * Runs something later.
   *
   * @param delayMillis how much later, 0 or more
   * @param action what to run
   */
  public void after(long delayMillis, Runnable action) {
    queue.add(new ScheduledAction(nowMillis + delayMillis, order++, action));
  }

  /**
   * Lets time pass and runs what comes due.
   *
   * @param millis how much
   */
  public void pass(long millis) {
    long until = nowMillis + millis;
    while (!queue.isEmpty() && queue.peek().atMillis() <= until) {
      ScheduledAction due = queue.poll();
      nowMillis = Math.max(nowMillis, due.atMillis());
      due.action().run();
    }
    nowMillis = until;
  }
}
