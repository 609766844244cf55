package org.peridotroute.server.ring;

/**
 * Processes the events of an {@link EventRing}. All methods are called by the ring's thread.
 *
 * @param <E> type of the events
 */
public interface RingConsumer<E> {
  /**
   * Processes one event.
   *
   * @param event the event
   */
  void onEvent(E event);

  /** Called after the last available event, and at every tick while there are none. */
  void onBatchEnd();
}
