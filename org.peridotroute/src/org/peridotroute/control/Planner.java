package org.peridotroute.control;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.peridotroute.fold.JobState;
import org.peridotroute.fold.PlannerClaim;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.VmId;
import org.peridotroute.policy.ClusterView;
import org.peridotroute.policy.Decision;
import org.peridotroute.policy.PlacementPolicy;

/**
 * The planner's role on one VM. Every VM has one of these; the one whose claim is in force plans,
 * the others watch for its renewals and claim the role when they stop. Two that plan at once do no
 * harm, since the fold drops the decisions of the older epoch.
 *
 * <p>Stepped by one thread. Verdicts may arrive on another.
 */
public final class Planner {
  private final VmId vm;
  private final Incarnation self;
  private final PlannerTimes times;
  private final PlacementPolicy policy;
  private final RecordSink sink;
  private final AtomicInteger pending = new AtomicInteger();

  private PlannerClaim lastClaim;
  private long lastClaimSeenMillis = -1;
  private long lastRenewMillis;
  private ClusterView lastDecided;

  /**
   * Creates the role.
   *
   * @param vm the VM
   * @param self this run of the process
   * @param times times of the role
   * @param policy what decides
   * @param sink where decisions are proposed
   */
  public Planner(
      VmId vm, Incarnation self, PlannerTimes times, PlacementPolicy policy, RecordSink sink) {
    this.vm = vm;
    this.self = self;
    this.times = times;
    this.policy = policy;
    this.sink = sink;
  }

  /**
   * Does what is due.
   *
   * @param view the latest view
   * @param nowMillis monotonic time
   */
  public void step(ClusterView view, long nowMillis) {
    observe(view.jobs(), nowMillis);
    if (pending.get() > 0) {
      return;
    }
    if (!holdsRole(view.jobs())) {
      claimIfSilent(view.jobs(), nowMillis);
      return;
    }
    if (nowMillis - lastRenewMillis >= times.renewMillis()) {
      lastRenewMillis = nowMillis;
      propose(new LogRecord.PlannerRenewed(view.jobs().epoch()));
    }
    if (hasChanged(view)) {
      lastDecided = view;
      decide(view);
    }
  }

  /** Returns the number of proposals that were not read back yet. */
  public int pendingProposals() {
    return pending.get();
  }

  /**
   * Returns whether this process holds the role in a state.
   *
   * @param state the state
   * @return whether its claim is in force there
   */
  public boolean holdsRole(JobState state) {
    return state.planner() != null && state.planner().incarnation().equals(self);
  }

  private void observe(JobState state, long nowMillis) {
    boolean renewed =
        lastClaim != null
            && state.planner() != null
            && lastClaim.renewedRevision() != state.planner().renewedRevision();
    if (lastClaimSeenMillis < 0 || renewed || (lastClaim == null && state.planner() != null)) {
      lastClaim = state.planner();
      lastClaimSeenMillis = nowMillis;
    }
  }

  private void claimIfSilent(JobState state, long nowMillis) {
    boolean nobody = state.planner() == null;
    if (nobody || nowMillis - lastClaimSeenMillis >= times.timeoutMillis()) {
      lastClaimSeenMillis = nowMillis;
      propose(new LogRecord.PlannerClaimed(vm, state.epoch()));
    }
  }

  private boolean hasChanged(ClusterView view) {
    return lastDecided == null
        || !lastDecided.hasSameInputAs(view)
        || view.wallMillis() - lastDecided.wallMillis() >= times.renewMillis();
  }

  private void decide(ClusterView view) {
    long epoch = view.jobs().epoch();
    List<Decision> decisions = policy.decide(view);
    decisions.stream().map(decision -> record(epoch, decision)).forEach(this::propose);
  }

  private static LogRecord record(long epoch, Decision decision) {
    if (decision instanceof Decision.Place place) {
      return new LogRecord.Placed(
          epoch, place.job(), place.attempt(), place.borrowed(), place.members());
    }
    if (decision instanceof Decision.Reclaim reclaim) {
      return new LogRecord.ReclaimRequested(epoch, reclaim.job(), reclaim.token(), reclaim.owner());
    }
    Decision.Refuse refuse = (Decision.Refuse) decision;
    return new LogRecord.JobRefused(epoch, refuse.job(), refuse.reason());
  }

  private void propose(LogRecord record) {
    pending.incrementAndGet();
    var unused = sink.propose(record).whenComplete((verdict, failure) -> pending.decrementAndGet());
  }
}
