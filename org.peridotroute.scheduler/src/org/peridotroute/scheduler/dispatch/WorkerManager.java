package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.Replies;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway;
import org.peridotroute.scheduler.port.WorkerGateway.CallOutcome;
import org.peridotroute.scheduler.port.WorkerGateway.CallReply;
import org.peridotroute.scheduler.port.WorkerGateway.EndedTask;
import org.peridotroute.scheduler.port.WorkerGateway.PollReply;
import org.peridotroute.scheduler.port.WorkerGateway.PollRequest;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.scheduler.port.WorkerGateway.RunningTask;
import org.peridotroute.scheduler.port.WorkerGateway.StartRequest;

/**
 * Gives orders to workers and finds out what became of them. A run counts as over only when a
 * worker lists its end, when a look that was sent after the order was settled does not show it,
 * when the worker's life is over, or when every lease granted there has run out.
 */
final class WorkerManager {
  /** Pause before a call that failed is made again. */
  private static final long RETRY_MILLIS = 300;

  /** Time between looks while ends that a worker listed wait for the log. */
  private static final long UNSTORED_LOOK_MILLIS = 1_000;

  /** Time for which a worker that refuses orders gets none. */
  private static final long REFUSAL_MILLIS = 1_500;

  /** What the fleet tells its owner. */
  interface Listener {
    /**
     * Describes a run that a worker lists and the fleet does not know.
     *
     * @param worker the worker
     * @param key the run
     * @return the run; one that no job knows of will be stopped
     */
    Attempt adopt(WorkerId worker, Attempt.Key key);

    /** Takes the end of a run in, however it came about. */
    void ended(WorkerState track, Attempt attempt, RunEnd end, String checkpoint, String evidence);

    /** Runs something once the ends told so far are on the log. */
    void afterStored(Runnable action);

    /** Returns whether the log has confirmed the term lately, so that leases may be extended. */
    boolean mayExtendLeases();

    /** Says that a worker has seen a greater fencing token. */
    void superseded(WorkerId by);

    /** Says that room or beliefs have changed. */
    void changed();
  }

  private final WorkerGateway gateway;
  private final DispatchSettings settings;
  private final Term term;
  private final Executor control;
  private final Time time;
  private final Events events;
  private final Listener owner;
  private final Map<WorkerId, WorkerState> tracks = new TreeMap<>();
  private final long inheritedLapseMillis;
  private long stamps;
  private boolean closed;

  WorkerManager(
      WorkerGateway gateway,
      DispatchSettings settings,
      Term term,
      Executor control,
      Time time,
      Events events,
      Listener owner) {
    this.gateway = gateway;
    this.settings = settings;
    this.term = term;
    this.control = control;
    this.time = time;
    this.events = events;
    this.owner = owner;
    inheritedLapseMillis =
        time.steadyMillis() + settings.maxUnconfirmedMillis() + settings.leaseExpiryMillis();
  }

  void close() {
    closed = true;
  }

  Collection<WorkerState> tracks() {
    return tracks.values();
  }

  WorkerState track(WorkerId id) {
    return tracks.computeIfAbsent(id, key -> new WorkerState(key, inheritedLapseMillis));
  }

  WorkerState find(WorkerId id) {
    return tracks.get(id);
  }

  /** Takes a worker's description of itself in. */
  void listed(WorkerInfo info) {
    WorkerState track = track(info.id());
    boolean wasDraining = track.info() != null && track.info().draining();
    if (!track.isListed()) {
      events.info("worker-listed", "worker", info.id(), "address", info.address());
      track.lookAtOnce();
    }
    if (info.draining() && !wasDraining) {
      events.info(
          "worker-draining", "worker", info.id(), "remainingMillis", info.remainingMillis());
    }
    track.list(info);
    List<WorkerState> replaced = new ArrayList<>();
    for (WorkerState other : tracks.values()) {
      boolean sameAddress = other.info() != null && other.info().address().equals(info.address());
      if (other != track && sameAddress) {
        replaced.add(other);
      }
    }
    replaced.forEach(other -> lifeOver(other, "another worker listens at its address"));
  }

  /** Takes in that a worker is on the list no more. */
  void unlisted(WorkerId id) {
    WorkerState track = tracks.get(id);
    if (track == null) {
      return;
    }
    events.info("worker-unlisted", "worker", id, "runs", track.all().size());
    track.unlist();
    owner.changed();
  }

  /** Does what is due: looks, stops, and what has lapsed. */
  void step() {
    long now = time.steadyMillis();
    for (WorkerState track : List.copyOf(tracks.values())) {
      expire(track, now);
      if (track.info() == null) {
        continue;
      }
      for (Attempt attempt : track.all()) {
        if (attempt.needsStopOrder(now)) {
          sendStop(track, attempt);
        }
      }
      if (track.isLookDue(now) && (track.isListed() || !track.all().isEmpty())) {
        look(track, now);
      }
      if (!track.isListed() && track.all().isEmpty() && !track.lookInFlight()) {
        tracks.remove(track.id());
      }
    }
  }

  private void expire(WorkerState track, long now) {
    boolean unreachable = track.info() == null || track.silentCalls() > 0 || !track.isFenced();
    if (unreachable && track.hasLapsed(now) && !track.all().isEmpty()) {
      endAll(track, "every lease granted there has run out");
    }
  }

  private void endAll(WorkerState track, String evidence) {
    for (Attempt attempt : List.copyOf(track.all())) {
      if (attempt.state() != Attempt.State.PLANNED) {
        over(track, attempt, RunEnd.LAPSED, "", evidence);
      }
    }
  }

  private void lifeOver(WorkerState track, String evidence) {
    events.info("worker-gone", "worker", track.id(), "evidence", evidence);
    track.unlist();
    endAll(track, evidence);
  }

  private void over(
      WorkerState track, Attempt attempt, RunEnd end, String checkpoint, String evidence) {
    if (attempt.isEnded()) {
      return;
    }
    attempt.markEnded();
    track.attempts().remove(attempt.key());
    owner.ended(track, attempt, end, checkpoint, evidence);
    owner.changed();
  }

  /** Forgets a run that was planned and never sent. */
  void withdraw(WorkerState track, Attempt attempt, String evidence) {
    over(track, attempt, RunEnd.STOPPED, "", evidence);
  }

  private void look(WorkerState track, long now) {
    boolean settled = track.isFenced() && track.seenEnd() == track.storedEnd();
    long wait = settled && track.silentCalls() == 0 ? settings.pollWaitMillis() : 0;
    long stamp = ++stamps;
    track.lookSent(stamp);
    Replies.deliver(
        callLook(track, now, wait),
        control,
        reply -> {
          if (!closed) {
            track.lookReturned(nextLook(track, reply));
            looked(track, reply, stamp);
          }
        });
  }

  private long nextLook(WorkerState track, PollReply reply) {
    long now = time.steadyMillis();
    if (reply.outcome() != CallOutcome.DONE) {
      return now + RETRY_MILLIS;
    }
    boolean unstored = !reply.ended().isEmpty() || track.seenEnd() > track.storedEnd();
    return unstored ? now + UNSTORED_LOOK_MILLIS : now;
  }

  /** Looks once more beside the look that waits, to settle an order soon. */
  private void lookBeside(WorkerState track) {
    long stamp = ++stamps;
    Replies.deliver(
        callLook(track, time.steadyMillis(), 0),
        control,
        reply -> {
          if (!closed) {
            looked(track, reply, stamp);
          }
        });
  }

  private CompletableFuture<PollReply> callLook(WorkerState track, long now, long wait) {
    long clock = track.clockMillis(now);
    // A worker that does not answer gets no more time, or its leases would never run out for us.
    boolean extend =
        clock >= 0 && track.silentCalls() == 0 && !track.all().isEmpty() && owner.mayExtendLeases();
    long leaseEnd = extend ? clock + settings.leaseMillis() : -1;
    if (extend) {
      track.granted(now + settings.leaseExpiryMillis());
    }
    long acknowledged = track.endToAcknowledge();
    CompletableFuture<PollReply> answer =
        gateway.poll(track.target(), new PollRequest(term.token(), leaseEnd, acknowledged, wait));
    Replies.deliver(
        answer,
        control,
        reply -> {
          if (reply.outcome() == CallOutcome.DONE) {
            track.forgot(acknowledged, reply.bornMillis());
          }
        });
    return answer;
  }

  private void looked(WorkerState track, PollReply reply, long stamp) {
    switch (reply.outcome()) {
      case DONE -> seen(track, reply, stamp);
      case FENCED -> owner.superseded(track.id());
      case OTHER_LIFE -> lifeOver(track, "another life answers at its address");
      case NOT_SENT -> {
        silent(track, reply.outcome());
        if (!track.isListed() && track.info().draining()) {
          lifeOver(track, "it drained, left the list and refuses connections");
        }
      }
      default -> silent(track, reply.outcome());
    }
  }

  private void silent(WorkerState track, CallOutcome outcome) {
    if (track.silentCalls() == 0) {
      events.warn(
          "worker-lost", "worker", track.id(), "outcome", outcome, "runs", track.all().size());
    }
    track.silent();
  }

  private void seen(WorkerState track, PollReply reply, long stamp) {
    long now = time.steadyMillis();
    if (track.silentCalls() > 0) {
      events.info("worker-regained", "worker", track.id(), "calls", track.silentCalls());
      owner.changed();
    }
    boolean known = track.isFenced();
    if (known && reply.bornMillis() != track.bornMillis()) {
      events.info("worker-reborn", "worker", track.id(), "bornMillis", reply.bornMillis());
      track.newLife();
    }
    track.heard(reply.clockMillis(), now);
    if (!track.isFenced()) {
      track.fencedIn(reply.bornMillis(), now + settings.leaseExpiryMillis());
      owner.changed();
    }
    Set<Attempt.Key> present = new HashSet<>();
    for (RunningTask task : reply.running()) {
      Attempt.Key key = new Attempt.Key(task.task(), task.run());
      present.add(key);
      running(track, key, task, now);
    }
    for (EndedTask task : reply.ended()) {
      present.add(new Attempt.Key(task.task(), task.run()));
      ended(track, task);
    }
    for (Attempt attempt : List.copyOf(track.all())) {
      if (!present.contains(attempt.key()) && attempt.isOverIfAbsentAt(stamp)) {
        over(track, attempt, RunEnd.LAPSED, "", "a later look does not show it");
      }
    }
    storeEnds(track, reply);
  }

  private void storeEnds(WorkerState track, PollReply reply) {
    long last = track.seenEnd();
    if (reply.ended().isEmpty()) {
      return;
    }
    long born = track.bornMillis();
    owner.afterStored(
        () -> {
          track.storedEnd(last, born);
          track.lookAtOnce();
        });
  }

  private void running(WorkerState track, Attempt.Key key, RunningTask task, long now) {
    Attempt attempt = track.attempts().get(key);
    if (attempt == null) {
      attempt = owner.adopt(track.id(), key);
      track.attempts().put(key, attempt);
      if (!attempt.isKnown()) {
        events.warn("stray-run", "worker", track.id(), "task", key.task(), "run", key.run());
        attempt.wantStop();
      }
    }
    if (attempt.state() != Attempt.State.RUNNING) {
      attempt.moveTo(Attempt.State.RUNNING, now);
    }
    attempt.settleFrom(++stamps);
    attempt.observe(task.percent(), task.checkpoint(), now);
  }

  private void ended(WorkerState track, EndedTask task) {
    if (task.number() <= track.seenEnd()) {
      return;
    }
    track.sawEnd(task.number());
    Attempt.Key key = new Attempt.Key(task.task(), task.run());
    Attempt attempt = track.attempts().get(key);
    if (attempt == null) {
      attempt = owner.adopt(track.id(), key);
    }
    over(track, attempt, task.end(), task.checkpoint(), "listed by the worker");
  }

  /** Sends the start of a run whose intent is on the log. */
  void sendStart(WorkerState track, Attempt attempt, StartParameters terms) {
    long now = time.steadyMillis();
    attempt.moveTo(Attempt.State.SENT, now);
    track.granted(now + settings.leaseExpiryMillis());
    StartRequest order =
        new StartRequest(
            attempt.key().task(),
            attempt.key().run(),
            terms.payload(),
            track.clockMillis(now) + settings.leaseMillis(),
            term.token(),
            terms.checkpoint(),
            null);
    Replies.deliver(
        gateway.start(track.target(), order),
        control,
        reply -> {
          if (!closed) {
            startAnswered(track, attempt, reply);
          }
        });
  }

  /**
   * What a start carries beside the run.
   *
   * @param payload the job's payload
   * @param checkpoint saved progress, empty for none
   */
  record StartParameters(String payload, String checkpoint) {}

  private void heardReply(WorkerState track, CallReply reply) {
    if (reply.clockMillis() >= 0 && track.heard(reply.clockMillis(), time.steadyMillis())) {
      track.newLife();
      track.lookAtOnce();
    }
  }

  private void startAnswered(WorkerState track, Attempt attempt, CallReply reply) {
    heardReply(track, reply);
    if (attempt.isEnded()) {
      return;
    }
    switch (reply.outcome()) {
      case DONE -> {
        attempt.moveTo(Attempt.State.RUNNING, time.steadyMillis());
        attempt.settleFrom(++stamps);
        return;
      }
      case FENCED -> {
        owner.superseded(track.id());
        return;
      }
      case UNKNOWN -> {
        attempt.moveTo(Attempt.State.UNCERTAIN, time.steadyMillis());
        attempt.wantStop();
        track.silent();
        sendStop(track, attempt);
      }
      case OTHER_LIFE -> lifeOver(track, "another life answers at its address");
      case INVALID -> over(track, attempt, RunEnd.FAILED, "", "the worker calls it malformed");
      default -> {
        track.sick(time.steadyMillis() + REFUSAL_MILLIS);
        over(track, attempt, RunEnd.STOPPED, "", "start refused: " + reply.outcome());
      }
    }
    events.warn(
        "start-not-taken",
        "task",
        attempt.key().task(),
        "run",
        attempt.key().run(),
        "worker",
        track.id(),
        "outcome",
        reply.outcome());
  }

  private void sendStop(WorkerState track, Attempt attempt) {
    attempt.stopSent();
    Replies.deliver(
        gateway.stop(track.target(), attempt.key().task(), attempt.key().run(), term.token()),
        control,
        reply -> {
          if (!closed) {
            stopAnswered(track, attempt, reply);
          }
        });
  }

  private void stopAnswered(WorkerState track, Attempt attempt, CallReply reply) {
    heardReply(track, reply);
    switch (reply.outcome()) {
      case DONE, SUPERSEDED -> {
        attempt.stopReturned(time.steadyMillis() + settings.stopMillis() + RETRY_MILLIS);
        attempt.settleFrom(++stamps);
        if (!attempt.isEnded() && attempt.state() == Attempt.State.UNCERTAIN) {
          lookBeside(track);
        }
      }
      case FENCED -> owner.superseded(track.id());
      case OTHER_LIFE -> lifeOver(track, "another life answers at its address");
      default -> attempt.stopReturned(time.steadyMillis() + RETRY_MILLIS);
    }
  }
}
