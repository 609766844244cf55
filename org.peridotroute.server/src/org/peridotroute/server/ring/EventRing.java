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
 * A thread with a duty and the bounded ring that feeds it. Started once and stopped once. Any
 * thread may offer events.
 *
 * @param <E> the kind of event
 */
public final class EventRing<E> {
  private static final long STOP_MILLIS = 2_000;

  private final String name;
  private final Disruptor<Slot<E>> disruptor;
  private final RingBuffer<Slot<E>> ring;
  private final CountDownLatch started = new CountDownLatch(1);
  private volatile Thread thread;

  /** A place in the ring. */
  private static final class Slot<E> {
    private E event;
  }

  /**
   * Creates a ring.
   *
   * @param name name of the ring and of its thread
   * @param slots its size, a power of two
   * @param tickMillis longest time between two steps of the duty
   * @param duty what the thread does
   * @param onBrokenInvariant told when the duty throws, which stops the process
   */
  public EventRing(
      String name,
      int slots,
      long tickMillis,
      RingConsumer<E> duty,
      Consumer<Throwable> onBrokenInvariant) {
    this.name = name;
    disruptor =
        new Disruptor<>(
            Slot::new,
            slots,
            this::newThread,
            ProducerType.MULTI,
            new TimeoutBlockingWaitStrategy(tickMillis, TimeUnit.MILLISECONDS));
    disruptor.setDefaultExceptionHandler(new Stopper<>(onBrokenInvariant));
    disruptor.handleEventsWith(new Handler<>(duty, onBrokenInvariant, started));
    ring = disruptor.getRingBuffer();
  }

  private Thread newThread(Runnable work) {
    Thread made = new Thread(work, name);
    made.setDaemon(true);
    thread = made;
    return made;
  }

  /** Starts the thread and waits until it runs; a stop would pass over events before. */
  public void start() {
    disruptor.start();
    try {
      if (!started.await(STOP_MILLIS, TimeUnit.MILLISECONDS)) {
        throw new IllegalStateException("the thread of ring " + name + " does not start");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Works off what is in the ring for a short while, then ends the thread. */
  public void stop() {
    try {
      disruptor.shutdown(STOP_MILLIS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      disruptor.halt();
    }
  }

  /**
   * Offers an event.
   *
   * @param event the event
   * @return whether there was room for it
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
   * Puts an event in, waiting for room. Must not be called by the ring's own thread.
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

  /** Returns the ring's name. */
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

  /** Joins the Disruptor's calls to the duty's. */
  private static final class Handler<E> implements EventHandler<Slot<E>> {
    private final RingConsumer<E> duty;
    private final Consumer<Throwable> onBrokenInvariant;
    private final CountDownLatch started;

    Handler(RingConsumer<E> duty, Consumer<Throwable> onBrokenInvariant, CountDownLatch started) {
      this.duty = duty;
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
      duty.onEvent(event);
      if (endOfBatch) {
        duty.onBatchEnd();
      }
    }

    @Override
    public void onTimeout(long sequence) {
      try {
        duty.onBatchEnd();
      } catch (RuntimeException e) {
        onBrokenInvariant.accept(e);
      }
    }
  }

  /** Hands what a duty threw to whoever stops the process. */
  private record Stopper<E>(Consumer<Throwable> onBrokenInvariant)
      implements ExceptionHandler<Slot<E>> {
    @Override
    public void handleEventException(Throwable fault, long sequence, Slot<E> slot) {
      onBrokenInvariant.accept(fault);
    }

    @Override
    public void handleOnStartException(Throwable fault) {
      onBrokenInvariant.accept(fault);
    }

    @Override
    public void handleOnShutdownException(Throwable fault) {
      onBrokenInvariant.accept(fault);
    }
  }
}
