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
 * The planner role on one VM, with leader election through the log. Every VM runs an instance: the
 * one with the valid claim plans, and the others watch its renewals and claim the role when these
 * cease. Two planners at once do no harm, because decisions of an older epoch are rejected when
 * they are read back from the log.
 *
 * <p>{@link #step} must always be called by the same thread. The other methods may be called by any
 * thread, and proposals may complete on any thread.
 */
public final class Planner {
  private final VmId vm;
  private final Incarnation incarnation;
  private final PlannerTimes times;
  private final PlacementPolicy policy;
  private final RecordSink sink;
  private final AtomicInteger pendingCount = new AtomicInteger();

  private PlannerClaim lastClaim;
  private long lastClaimSeenMillis = -1;
  private long lastRenewMillis;
  private ClusterView lastView;

  /**
   * Creates the role.
   *
   * @param vm this VM
   * @param incarnation identifies this run of the process
   * @param times renewal interval and timeout of the role
   * @param policy makes the placement decisions
   * @param sink accepts proposed records
   */
  public Planner(
      VmId vm,
      Incarnation incarnation,
      PlannerTimes times,
      PlacementPolicy policy,
      RecordSink sink) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.times = times;
    this.policy = policy;
    this.sink = sink;
  }

  /**
   * Claims or renews the role, or decides on queued jobs, whichever is due.
   *
   * @param view the latest state, configuration and directory
   * @param nowMillis monotonic time
   */
  public void step(ClusterView view, long nowMillis) {
    observeClaim(view.jobs(), nowMillis);
    if (pendingCount.get() > 0) {
      return;
    }
    if (!holdsRole(view.jobs())) {
      claimIfExpired(view.jobs(), nowMillis);
      return;
    }
    if (nowMillis - lastRenewMillis >= times.renewMillis()) {
      lastRenewMillis = nowMillis;
      propose(new LogRecord.PlannerRenewed(view.jobs().epoch()));
    }
    if (isDecisionDue(view)) {
      lastView = view;
      decide(view);
    }
  }

  /** Returns the number of proposals that have not been read back. */
  public int pendingProposals() {
    return pendingCount.get();
  }

  /**
   * Returns whether this process holds the planner role in a state.
   *
   * @param state the state
   * @return whether the claim in the state was made by this run of the process
   */
  public boolean holdsRole(JobState state) {
    return state.planner() != null && state.planner().incarnation().equals(incarnation);
  }

  private void observeClaim(JobState state, long nowMillis) {
    boolean renewed =
        lastClaim != null
            && state.planner() != null
            && lastClaim.renewedRevision() != state.planner().renewedRevision();
    if (lastClaimSeenMillis < 0 || renewed || (lastClaim == null && state.planner() != null)) {
      lastClaim = state.planner();
      lastClaimSeenMillis = nowMillis;
    }
  }

  private void claimIfExpired(JobState state, long nowMillis) {
    boolean unclaimed = state.planner() == null;
    if (unclaimed || nowMillis - lastClaimSeenMillis >= times.timeoutMillis()) {
      lastClaimSeenMillis = nowMillis;
      propose(new LogRecord.PlannerClaimed(vm, state.epoch()));
    }
  }

  private boolean isDecisionDue(ClusterView view) {
    return lastView == null
        || !lastView.hasSameInputAs(view)
        || view.wallMillis() - lastView.wallMillis() >= times.renewMillis();
  }

  private void decide(ClusterView view) {
    long epoch = view.jobs().epoch();
    List<Decision> decisions = policy.decide(view);
    decisions.stream().map(decision -> toRecord(epoch, decision)).forEach(this::propose);
  }

  private static LogRecord toRecord(long epoch, Decision decision) {
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
    pendingCount.incrementAndGet();
    var unused =
        sink.propose(record).whenComplete((verdict, failure) -> pendingCount.decrementAndGet());
  }
}
