package org.peridotroute.server.ring;

/**
 * Work of one thread.
 *
 * @param <E> the kind of event it takes
 */
public interface RingConsumer<E> {
  /**
   * Takes one event.
   *
   * @param event the event
   */
  void onEvent(E event);

  /** Called after the last event at hand, and at every tick while there are none. */
  void onBatchEnd();
}
