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

/** Steps the gang driver on a thread of its own; answers of workers come back through its ring. */
public final class DriverService implements RingConsumer<Runnable> {
  private static final int RING_SLOTS = 16_384;
  private static final long TICK_MILLIS = 200;

  private final FoldedState state;
  private final Supplier<Directory> members;
  private final ProcessHealth health;
  private final HttpWorkerGateway gateway;
  private final EventRing<Runnable> ring;
  private final GangDriver driver;

  /**
   * Creates the service.
   *
   * @param self this VM
   * @param times times of gangs
   * @param state the folded state
   * @param members the list, joined with what was heard from peers
   * @param health says whether the process may act
   * @param gateway the way to workers
   * @param sink where records are proposed
   * @param onBrokenInvariant told when the driver throws
   */
  public DriverService(
      VmId self,
      GangTimes times,
      FoldedState state,
      Supplier<Directory> members,
      ProcessHealth health,
      HttpWorkerGateway gateway,
      RecordSink sink,
      Consumer<Throwable> onBrokenInvariant) {
    this.state = state;
    this.members = members;
    this.health = health;
    this.gateway = gateway;
    ring = new EventRing<>("driver", RING_SLOTS, TICK_MILLIS, this, onBrokenInvariant);
    driver = new GangDriver(self, times, gateway, sink, this::runOnDuty);
  }

  /** Starts stepping. */
  public void start() {
    ring.start();
  }

  /** Stops stepping; another VM goes on with the gangs. */
  public void stop() {
    ring.stop();
  }

  /** Says that something has changed. Costs nothing if the ring is full, since a step follows. */
  public void signal() {
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
    driver.step(state.jobs(), members.get(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    gateway.flush();
  }

  private void runOnDuty(Runnable continuation) {
    if (ring.isOwnThread()) {
      continuation.run();
    } else {
      ring.put(continuation);
    }
  }
}
