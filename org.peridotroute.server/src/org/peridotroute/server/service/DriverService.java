package org.peridotroute.server.service;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.peridotroute.control.GangDriver;
import org.peridotroute.control.GangTimes;
import org.peridotroute.control.RecordSink;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.VmId;
import org.peridotroute.server.client.HttpWorkerGateway;
import org.peridotroute.server.ring.EventRing;
import org.peridotroute.server.ring.RingConsumer;

/**
 * Steps the gang driver on its own thread; replies of workers are handled there through its ring.
 */
public final class DriverService implements RingConsumer<Runnable> {
  private static final int RING_SLOTS = 16_384;
  private static final long TICK_MILLIS = 200;

  private final FoldedState state;
  private final Supplier<Directory> directory;
  private final ProcessHealth health;
  private final HttpWorkerGateway gateway;
  private final EventRing<Runnable> ring;
  private final GangDriver driver;

  /**
   * Creates the service.
   *
   * @param self this VM
   * @param times lease and retry intervals
   * @param state the current state
   * @param directory supplies the directory without suspected VMs
   * @param health readiness of the process; no step is taken until it may act
   * @param gateway sends commands to workers
   * @param sink accepts proposed records
   * @param onBrokenInvariant called with the exception when the driver throws
   */
  public DriverService(
      VmId self,
      GangTimes times,
      FoldedState state,
      Supplier<Directory> directory,
      ProcessHealth health,
      HttpWorkerGateway gateway,
      RecordSink sink,
      Consumer<Throwable> onBrokenInvariant) {
    this.state = state;
    this.directory = directory;
    this.health = health;
    this.gateway = gateway;
    ring = new EventRing<>("driver", RING_SLOTS, TICK_MILLIS, this, onBrokenInvariant);
    driver = new GangDriver(self, times, gateway, sink, this::runOnDriverThread);
  }

  /** Starts the driver. */
  public void start() {
    ring.start();
  }

  /** Stops the driver; another VM takes over its gangs. */
  public void stop() {
    ring.stop();
  }

  /** Requests a step. A full ring can be ignored, because a step follows its last event anyway. */
  public void requestStep() {
    var unused = ring.offer(() -> {});
  }

  /** Returns the driver, for the dump. */
  public GangDriver driver() {
    return driver;
  }

  /** Returns the ring, for the dump. */
  public EventRing<Runnable> ring() {
    return ring;
  }

  @Override
  public void onEvent(Runnable continuation) {
    continuation.run();
  }

  @Override
  public void onBatchEnd() {
    if (!health.canAct()) {
      return;
    }
    driver.step(state.jobs(), directory.get(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    gateway.flush();
  }

  private void runOnDriverThread(Runnable continuation) {
    if (ring.isOwnThread()) {
      continuation.run();
    } else {
      ring.put(continuation);
    }
  }
}
