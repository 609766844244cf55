package org.peridotroute.server.service;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.peridotroute.control.Planner;
import org.peridotroute.lib.Directory;
import org.peridotroute.policy.ClusterView;
import org.peridotroute.server.ring.EventRing;
import org.peridotroute.server.ring.RingConsumer;

/** Steps the planner's role on a thread of its own, when the state changes and at ticks. */
public final class PlannerService implements RingConsumer<PlannerService.Signal> {
  private static final int RING_SLOTS = 16;
  private static final long TICK_MILLIS = 200;

  private final Planner planner;
  private final FoldedState state;
  private final Supplier<Directory> members;
  private final ProcessHealth health;
  private final EventRing<Signal> ring;

  /** Says that something has changed. */
  public enum Signal {
    /** The state or the list has changed. */
    CHANGED
  }

  /**
   * Creates the service.
   *
   * @param planner the role
   * @param state the folded state
   * @param members the list, joined with what was heard from peers
   * @param health says whether the process may act
   * @param onBrokenInvariant told when the role throws
   */
  public PlannerService(
      Planner planner,
      FoldedState state,
      Supplier<Directory> members,
      ProcessHealth health,
      Consumer<Throwable> onBrokenInvariant) {
    this.planner = planner;
    this.state = state;
    this.members = members;
    this.health = health;
    ring = new EventRing<>("planner", RING_SLOTS, TICK_MILLIS, this, onBrokenInvariant);
  }

  /** Starts stepping. */
  public void start() {
    ring.start();
  }

  /** Stops stepping. */
  public void stop() {
    ring.stop();
  }

  /** Says that something has changed. Costs nothing if that was said already. */
  public void signal() {
    var unused = ring.offer(Signal.CHANGED);
  }

  /** Returns the role, for the dump. */
  public Planner planner() {
    return planner;
  }

  /** Returns the ring, for the dump. */
  public EventRing<Signal> ring() {
    return ring;
  }

  @Override
  public void onEvent(Signal signal) {
    // What has changed is read from the state in the step that follows.
  }

  @Override
  public void onBatchEnd() {
    if (!health.canAct() || health.isLeaving()) {
      return;
    }
    ClusterView view =
        new ClusterView(state.jobs(), state.config(), members.get(), System.currentTimeMillis());
    planner.step(view, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }
}
