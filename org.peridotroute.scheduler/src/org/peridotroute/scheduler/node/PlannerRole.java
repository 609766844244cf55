package org.peridotroute.scheduler.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.peridotroute.scheduler.dispatch.DispatchSettings;
import org.peridotroute.scheduler.dispatch.GrantsEnd;
import org.peridotroute.scheduler.dispatch.Term;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedLog.AppendOutcome;
import org.peridotroute.scheduler.port.Replies;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.Topic;

/**
 * Watches the planner's heartbeats on the log and claims its role when they stop. The log stores a
 * claim only if the topic still ends where this VM has read to, so that no record of the former
 * planner is missed. A stored claim also fences the former planner: the log refuses its later
 * appends. Confined to the control thread.
 */
final class PlannerRole {
  /**
   * Fraction of the planner timeout that must have passed between the last heartbeat and the
   * sending of the read that returned no heartbeat.
   */
  private static final double MIN_QUIET_BEFORE_READ = 0.6;

  /**
   * Time without claims after this VM was superseded, so that the role does not go back and forth
   * between two VMs.
   */
  private static final long STEP_DOWN_PAUSE_MILLIS = 1_600;

  /**
   * Range of the first sequence number of a claim. Two claims of one epoch differ in this number.
   */
  private static final long SEQUENCE_RANGE = 1L << 30;

  /**
   * Multiplier of Fibonacci hashing: an odd number close to 2 to the power of 32 divided by the
   * golden ratio.
   */
  private static final long HASH_MULTIPLIER = 2_654_435_761L;

  private final SchedulerVmSettings settings;
  private final KeyedLog log;
  private final Executor control;
  private final Time time;
  private final Events events;
  private Term.Claim lastClaim;
  private long lastClaimSeenMillis;
  private long settledEpoch = -1;
  private long lastHeartbeatMillis;
  private boolean claiming;
  private long nextClaimMillis;

  PlannerRole(
      SchedulerVmSettings settings, KeyedLog log, Executor control, Time time, Events events) {
    this.settings = settings;
    this.log = log;
    this.control = control;
    this.time = time;
    this.events = events;
    lastHeartbeatMillis = time.steadyMillis();
  }

  /**
   * Handles a claim or heartbeat read from the log. Claims of earlier terms are ignored.
   *
   * @param claim the claim
   * @param offset offset of its record
   */
  void onClaim(Term.Claim claim, long offset) {
    if (lastClaim != null && claim.term().epoch() < lastClaim.term().epoch()) {
      return;
    }
    if (lastClaim == null || claim.term().epoch() != lastClaim.term().epoch()) {
      lastClaimSeenMillis = time.steadyMillis();
      events.info(
          "planner-seen",
          "epoch",
          claim.term().epoch(),
          "holder",
          claim.term().holder(),
          "offset",
          offset);
    }
    lastClaim = claim;
    onHeartbeat();
  }

  /** Returns the VM that plans as far as this one knows, empty if there is none. */
  Optional<String> planner() {
    return lastClaim == null || lastClaim.resigned()
        ? Optional.empty()
        : Optional.of(lastClaim.term().holder());
  }

  /**
   * Handles the record that no planner of a term before the given one extends leases any more.
   *
   * @param epoch epoch of the term
   */
  void onSettled(long epoch) {
    settledEpoch = Math.max(settledEpoch, epoch);
  }

  /** Handles any record of the planner, which counts as a heartbeat. */
  void onHeartbeat() {
    lastHeartbeatMillis = time.steadyMillis();
  }

  /**
   * Claims the role if it is vacant: the planner was a former incarnation of this VM, or there was
   * no planner yet or it has resigned, and the claim delay has passed.
   *
   * @param nextOffset offset up to which this VM has read the progress
   * @param onElected receives the election if the claim is stored
   */
  void claimIfVacant(long nextOffset, Consumer<Election> onElected) {
    if (canClaim() && isVacant()) {
      claim(nextOffset, onElected);
    }
  }

  /**
   * Claims the role if it is vacant, or if a read shows that the planner's heartbeats have timed
   * out.
   *
   * @param empty whether the read returned no new records
   * @param sentMillis steady time at which the read was sent
   * @param endOffset end of the progress topic as of the read
   * @param nextOffset offset up to which this VM has read the progress
   * @param onElected receives the election if the claim is stored
   */
  void claimIfTimedOut(
      boolean empty,
      long sentMillis,
      long endOffset,
      long nextOffset,
      Consumer<Election> onElected) {
    if (canClaim()
        && endOffset == nextOffset
        && (isVacant() || (empty && hasTimedOut(sentMillis)))) {
      claim(endOffset, onElected);
    }
  }

  private boolean canClaim() {
    return !claiming && time.steadyMillis() >= nextClaimMillis;
  }

  private void claim(long endOffset, Consumer<Election> onElected) {
    claiming = true;
    long now = time.steadyMillis();
    GrantsEnd grantsEnd =
        new GrantsEnd(
            grantsEndMillis(now, settings.dispatch().maxUnconfirmedMillis()),
            leavingGrantsEndMillis(now));
    Term term =
        new Term(
            endOffset,
            settings.vm(),
            settings.incarnation(),
            firstSequence(settings.incarnation()));
    events.info(
        "planner-claiming",
        "epoch",
        term.epoch(),
        "former",
        lastClaim == null ? "none" : lastClaim.term().holder(),
        "silentMillis",
        now - lastHeartbeatMillis);
    Replies.deliver(
        log.append(
            Topic.PROGRESS,
            List.of(term.record()),
            endOffset,
            new KeyedLog.Fence(Term.ROLE, term.epoch(), term.sequence())),
        control,
        reply -> onClaimReply(new Election(term, now, grantsEnd), reply, onElected));
  }

  /**
   * Returns the steady time from which no planner of an earlier term extends leases. A planner
   * extends them only for a limited time after it has sent the last append that the log has
   * confirmed, and all its appends have been read here before a claim.
   */
  private long grantsEndMillis(long nowMillis, long maxUnconfirmedMillis) {
    if (lastClaim == null) {
      return nowMillis;
    }
    if (!hasEnded(lastClaim)) {
      return lastHeartbeatMillis + maxUnconfirmedMillis;
    }
    return isSettled() ? nowMillis : lastClaimSeenMillis + maxUnconfirmedMillis;
  }

  /**
   * As {@link #grantsEndMillis}, for a worker that leaves. The last planner knows from its record
   * that it leaves; those before may not have known, unless they have stopped already.
   */
  private long leavingGrantsEndMillis(long nowMillis) {
    DispatchSettings dispatch = settings.dispatch();
    return grantsEndMillis(
        nowMillis, isSettled() ? dispatch.maxProofAgeMillis() : dispatch.maxUnconfirmedMillis());
  }

  private boolean isSettled() {
    return lastClaim != null && lastClaim.term().epoch() == settledEpoch;
  }

  /**
   * Returns whether the planner of a term makes no calls any more, whatever it knows of the log.
   */
  private boolean hasEnded(Term.Claim claim) {
    // A former incarnation of this process is gone, and this one makes no claim while it plans.
    return claim.resigned() || claim.term().holder().equals(settings.vm());
  }

  /**
   * Returns the first sequence number of a claim, spread over the range so that it does not collide
   * with the numbers that follow another claim's.
   */
  private static long firstSequence(String incarnation) {
    return Math.floorMod(incarnation.hashCode() * HASH_MULTIPLIER, SEQUENCE_RANGE);
  }

  private boolean isVacant() {
    if (lastClaim == null || lastClaim.resigned()) {
      return time.steadyMillis() - lastHeartbeatMillis >= settings.claimDelayMillis();
    }
    boolean own = lastClaim.term().holder().equals(settings.vm());
    return own && !lastClaim.term().incarnation().equals(settings.incarnation());
  }

  private boolean hasTimedOut(long sentMillis) {
    long silentMillis = time.steadyMillis() - lastHeartbeatMillis;
    long quietBeforeReadMillis = sentMillis - lastHeartbeatMillis;
    return silentMillis >= settings.plannerTimeoutMillis() + settings.claimDelayMillis()
        && quietBeforeReadMillis >= settings.plannerTimeoutMillis() * MIN_QUIET_BEFORE_READ;
  }

  private void onClaimReply(
      Election election, KeyedLog.AppendReply reply, Consumer<Election> onElected) {
    claiming = false;
    Term term = election.term();
    // The log repeats its earlier reply for a sequence number that it has seen, whichever VM sends
    // it. Only the offset shows whether the stored claim is this one.
    boolean own = reply.firstOffset() == term.epoch();
    if (reply.outcome() == AppendOutcome.APPENDED && own) {
      lastClaim = new Term.Claim(term, false);
      Term next = new Term(term.epoch(), term.holder(), term.incarnation(), term.sequence() + 1);
      onElected.accept(new Election(next, election.claimedMillis(), election.grantsEnd()));
      return;
    }
    events.info("planner-claim-failed", "epoch", term.epoch(), "outcome", reply.outcome());
    nextClaimMillis = time.steadyMillis() + settings.plannerTimeoutMillis() / 2;
  }

  /** Called when this VM has been superseded as planner. It makes no claim for a while. */
  void onStepDown() {
    lastHeartbeatMillis = time.steadyMillis();
    lastClaim = null;
    nextClaimMillis = lastHeartbeatMillis + STEP_DOWN_PAUSE_MILLIS;
  }

  /** Resigns the role, so that another VM claims it at once. */
  void resign(Term term) {
    events.info("planner-resigned", "epoch", term.epoch());
    Replies.deliver(
        log.append(Topic.PROGRESS, List.of(term.resignation()), -1, null),
        control,
        reply ->
            events.info(
                "planner-resignation-stored", "epoch", term.epoch(), "outcome", reply.outcome()));
  }
}
