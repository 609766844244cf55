package org.peridotroute.standin.world;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.peridotroute.scheduler.port.Time;

/**
 * Virtual clock with a queue of scheduled actions. Actions due at the same time run in the order in
 * which they were scheduled. Used by one thread.
 */
public final class VirtualTime implements Time {
  /** Wall-clock time at virtual time 0; an arbitrary date. */
  private static final long WALL_EPOCH_MILLIS = 1_700_000_000_000L;

  private record ScheduledAction(long atMillis, long order, Runnable action) {}

  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atMillis)
              .thenComparingLong(ScheduledAction::order));
  private long nowMillis = 1_000;
  private long nextOrder;

  @Override
  public long steadyMillis() {
    return nowMillis;
  }

  @Override
  public long wallMillis() {
    return WALL_EPOCH_MILLIS + nowMillis;
  }

  /**
   * Schedules an action, which a later call to {@link #pass} runs.
   *
   * @param delayMillis delay from now, 0 or more
   * @param action the action to run
   */
  public void after(long delayMillis, Runnable action) {
    queue.add(new ScheduledAction(nowMillis + delayMillis, nextOrder++, action));
  }

  /**
   * Advances the clock and runs the actions that become due, including those that they schedule.
   *
   * @param millis how far to advance
   */
  public void pass(long millis) {
    long untilMillis = nowMillis + millis;
    while (!queue.isEmpty() && queue.peek().atMillis() <= untilMillis) {
      ScheduledAction next = queue.poll();
      nowMillis = Math.max(nowMillis, next.atMillis());
      next.action().run();
    }
    nowMillis = untilMillis;
  }
}
