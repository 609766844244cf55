package org.peridotroute.scheduler.node;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.peridotroute.scheduler.dispatch.Term;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedLog.AppendOutcome;
import org.peridotroute.scheduler.port.Replies;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.Topic;

/**
 * Watches the planner's signs of life on the log and claims its role when they stop. A claim is
 * taken only if the log still ends where this VM has read to, so nothing of the former planner is
 * missed; it also bars the former planner from writing. Belongs to the control thread.
 */
final class PlannerRole {
  /** Part of the silence that must have passed before the read that shows it was sent. */
  private static final double QUIET_BEFORE_READ = 0.6;

  /** Range of the first sequence number, by which two claims of one epoch are told apart. */
  private static final long SEQUENCE_RANGE = 1L << 30;

  /** An odd number with its bits well mixed: 2 to the 32nd over the golden ratio. */
  private static final long SPREAD = 2_654_435_761L;

  private final NodeSettings settings;
  private final KeyedLog log;
  private final Executor control;
  private final Time time;
  private final Events events;
  private Term.Claim last;
  private long lastSignMillis;
  private boolean claiming;
  private long pausedUntilMillis;

  PlannerRole(NodeSettings settings, KeyedLog log, Executor control, Time time, Events events) {
    this.settings = settings;
    this.log = log;
    this.control = control;
    this.time = time;
    this.events = events;
    lastSignMillis = time.steadyMillis();
  }

  void seen(Term.Claim claim, long offset) {
    if (last != null && claim.term().epoch() < last.term().epoch()) {
      return;
    }
    if (last == null || claim.term().epoch() != last.term().epoch()) {
      events.info(
          "planner-seen",
          "epoch",
          claim.term().epoch(),
          "holder",
          claim.term().holder(),
          "offset",
          offset);
    }
    last = claim;
    signOfLife();
  }

  void signOfLife() {
    lastSignMillis = time.steadyMillis();
  }

  /**
   * Claims the role if nobody holds it: there was no planner yet, it has laid the role down, or it
   * was a former life of this VM.
   */
  void claimIfLeft(long readTo, Consumer<Term> onElected) {
    if (mayClaim() && isLeft()) {
      claim(readTo, onElected);
    }
  }

  /** Claims the role if a read has shown that its planner has been silent for too long. */
  void claimIfSilent(
      boolean empty, long sentMillis, long endOffset, long readTo, Consumer<Term> onElected) {
    if (mayClaim() && endOffset == readTo && (isLeft() || (empty && isSilent(sentMillis)))) {
      claim(endOffset, onElected);
    }
  }

  private boolean mayClaim() {
    return !claiming && time.steadyMillis() >= pausedUntilMillis;
  }

  private void claim(long endOffset, Consumer<Term> onElected) {
    claiming = true;
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
        last == null ? "none" : last.term().holder(),
        "silentMillis",
        time.steadyMillis() - lastSignMillis);
    Replies.deliver(
        log.append(
            Topic.PROGRESS,
            List.of(term.record()),
            endOffset,
            new KeyedLog.Fence(Term.ROLE, term.epoch(), term.sequence())),
        control,
        reply -> claimed(term, reply, onElected));
  }

  /** Spreads first numbers, so that no claim meets the numbers that follow another one. */
  private static long firstSequence(String incarnation) {
    return Math.floorMod(incarnation.hashCode() * SPREAD, SEQUENCE_RANGE);
  }

  private boolean isLeft() {
    if (last == null || last.resigned()) {
      return time.steadyMillis() - lastSignMillis >= settings.claimDelayMillis();
    }
    boolean mine = last.term().holder().equals(settings.vm());
    return mine && !last.term().incarnation().equals(settings.incarnation());
  }

  private boolean isSilent(long sentMillis) {
    long silent = time.steadyMillis() - lastSignMillis;
    long before = sentMillis - lastSignMillis;
    return silent >= settings.silenceMillis() + settings.claimDelayMillis()
        && before >= settings.silenceMillis() * QUIET_BEFORE_READ;
  }

  private void claimed(Term term, KeyedLog.AppendReply reply, Consumer<Term> onElected) {
    claiming = false;
    // The log answers a number that it has seen with what it said then, to whoever asks.
    boolean mine = reply.firstOffset() == term.epoch();
    if (reply.outcome() == AppendOutcome.APPENDED && mine) {
      last = new Term.Claim(term, false);
      onElected.accept(
          new Term(term.epoch(), term.holder(), term.incarnation(), term.sequence() + 1));
      return;
    }
    events.info("planner-claim-failed", "epoch", term.epoch(), "outcome", reply.outcome());
    pausedUntilMillis = time.steadyMillis() + settings.silenceMillis() / 2;
  }

  void steppedDown() {
    lastSignMillis = time.steadyMillis();
    last = null;
    pausedUntilMillis = lastSignMillis + settings.silenceMillis();
  }

  /** Lays the office down, so that another VM takes it at once. */
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
