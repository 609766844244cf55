package org.peridotroute.server.service;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.peridotroute.control.Planner;
import org.peridotroute.lib.Directory;
import org.peridotroute.policy.ClusterView;
import org.peridotroute.server.ring.EventRing;
import org.peridotroute.server.ring.RingConsumer;

/** Steps the planner on its own thread, when the state changes and at each tick. */
public final class PlannerService implements RingConsumer<PlannerService.Signal> {
  private static final int RING_SLOTS = 16;
  private static final long TICK_MILLIS = 200;

  private final Planner planner;
  private final FoldedState state;
  private final Supplier<Directory> directory;
  private final ProcessHealth health;
  private final EventRing<Signal> ring;

  /** Requests a step. */
  public enum Signal {
    /** The state or the directory has changed. */
    CHANGED
  }

  /**
   * Creates the service.
   *
   * @param planner the planner
   * @param state the current state
   * @param directory supplies the directory without suspected VMs
   * @param health readiness of the process; no step is taken until it may act
   * @param onBrokenInvariant called with the exception when the planner throws
   */
  public PlannerService(
      Planner planner,
      FoldedState state,
      Supplier<Directory> directory,
      ProcessHealth health,
      Consumer<Throwable> onBrokenInvariant) {
    this.planner = planner;
    this.state = state;
    this.directory = directory;
    this.health = health;
    ring = new EventRing<>("planner", RING_SLOTS, TICK_MILLIS, this, onBrokenInvariant);
  }

  /** Starts the planner. */
  public void start() {
    ring.start();
  }

  /** Stops the planner. */
  public void stop() {
    ring.stop();
  }

  /** Requests a step. A full ring can be ignored, because a step follows its last event anyway. */
  public void requestStep() {
    var unused = ring.offer(Signal.CHANGED);
  }

  /** Returns the planner, for the dump. */
  public Planner planner() {
    return planner;
  }

  /** Returns the ring, for the dump. */
  public EventRing<Signal> ring() {
    return ring;
  }

  @Override
  public void onEvent(Signal signal) {
    // The step that follows reads the changed state.
  }

  @Override
  public void onBatchEnd() {
    if (!health.canAct() || health.isLeaving()) {
      return;
    }
    ClusterView view =
        new ClusterView(state.jobs(), state.config(), directory.get(), System.currentTimeMillis());
    planner.step(view, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }
}
