package org.peridotroute.server.ring;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.InsufficientCapacityException;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A bounded ring buffer and the thread that consumes its events. Can be started once and stopped
 * once. Any thread may add events.
 *
 * @param <E> type of the events
 */
public final class EventRing<E> {
  /** Longest time to wait for the thread to start, or to process its events when it stops. */
  private static final long TIMEOUT_MILLIS = 2_000;

  private final String name;
  private final Disruptor<Slot<E>> disruptor;
  private final RingBuffer<Slot<E>> ring;
  private final CountDownLatch started = new CountDownLatch(1);
  private volatile Thread thread;

  /** Preallocated, reused element of the ring buffer. */
  private static final class Slot<E> {
    private E event;
  }

  /**
   * Creates a ring.
   *
   * @param name name of the ring and of its thread
   * @param slots capacity, a power of two
   * @param tickMillis interval between calls of {@link RingConsumer#onBatchEnd} without events
   * @param consumer processes the events on the ring's thread
   * @param onBrokenInvariant called with the exception when the consumer throws; must stop the
   *     process
   */
  public EventRing(
      String name,
      int slots,
      long tickMillis,
      RingConsumer<E> consumer,
      Consumer<Throwable> onBrokenInvariant) {
    this.name = name;
    disruptor =
        new Disruptor<>(
            Slot::new,
            slots,
            this::newThread,
            ProducerType.MULTI,
            new TimeoutBlockingWaitStrategy(tickMillis, TimeUnit.MILLISECONDS));
    disruptor.setDefaultExceptionHandler(new FailureReporter<>(onBrokenInvariant));
    disruptor.handleEventsWith(new ConsumerAdapter<>(consumer, onBrokenInvariant, started));
    ring = disruptor.getRingBuffer();
  }

  private Thread newThread(Runnable task) {
    Thread created = new Thread(task, name);
    created.setDaemon(true);
    thread = created;
    return created;
  }

  /**
   * Starts the thread and waits until it runs. A stop before the thread runs would lose the events
   * in the ring.
   */
  public void start() {
    disruptor.start();
    try {
      if (!started.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
        throw new IllegalStateException(
            "thread of ring " + name + " did not start within " + TIMEOUT_MILLIS + " ms");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Lets the thread process the events in the ring, for a limited time, and then ends it. */
  public void stop() {
    try {
      disruptor.shutdown(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      disruptor.halt();
    }
  }

  /**
   * Adds an event if there is a free slot; never blocks.
   *
   * @param event the event
   * @return false if the ring is full and the event was not added
   */
  public boolean offer(E event) {
    try {
      long sequence = ring.tryNext();
      publish(sequence, event);
      return true;
    } catch (InsufficientCapacityException e) {
      return false;
    }
  }

  /**
   * Adds an event, waiting for a free slot. Must not be called by the ring's own thread, which
   * would wait for itself when the ring is full.
   *
   * @param event the event
   */
  public void put(E event) {
    publish(ring.next(), event);
  }

  /** Returns whether the calling thread is the ring's own. */
  public boolean isOwnThread() {
    return Thread.currentThread() == thread;
  }

  /** Returns the name of the ring and its thread. */
  public String name() {
    return name;
  }

  /** Returns the number of slots. */
  public int slots() {
    return ring.getBufferSize();
  }

  /** Returns the number of slots in use. */
  public long used() {
    return ring.getBufferSize() - ring.remainingCapacity();
  }

  private void publish(long sequence, E event) {
    ring.get(sequence).event = event;
    ring.publish(sequence);
  }

  /** Forwards the Disruptor's callbacks to the consumer. */
  private static final class ConsumerAdapter<E> implements EventHandler<Slot<E>> {
    private final RingConsumer<E> consumer;
    private final Consumer<Throwable> onBrokenInvariant;
    private final CountDownLatch started;

    ConsumerAdapter(
        RingConsumer<E> consumer, Consumer<Throwable> onBrokenInvariant, CountDownLatch started) {
      this.consumer = consumer;
      this.onBrokenInvariant = onBrokenInvariant;
      this.started = started;
    }

    @Override
    public void onStart() {
      started.countDown();
    }

    @Override
    public void onEvent(Slot<E> slot, long sequence, boolean endOfBatch) {
      E event = slot.event;
      slot.event = null;
      consumer.onEvent(event);
      if (endOfBatch) {
        consumer.onBatchEnd();
      }
    }

    @Override
    public void onTimeout(long sequence) {
      try {
        consumer.onBatchEnd();
      } catch (RuntimeException e) {
        onBrokenInvariant.accept(e);
      }
    }
  }

  /** Reports an exception of the consumer as a broken invariant. */
  private record FailureReporter<E>(Consumer<Throwable> onBrokenInvariant)
      implements ExceptionHandler<Slot<E>> {
    @Override
    public void handleEventException(Throwable failure, long sequence, Slot<E> slot) {
      onBrokenInvariant.accept(failure);
    }

    @Override
    public void handleOnStartException(Throwable failure) {
      onBrokenInvariant.accept(failure);
    }

    @Override
    public void handleOnShutdownException(Throwable failure) {
      onBrokenInvariant.accept(failure);
    }
  }
}
