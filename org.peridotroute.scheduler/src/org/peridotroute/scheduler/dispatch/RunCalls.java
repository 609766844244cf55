package org.peridotroute.scheduler.dispatch;

import java.util.concurrent.Executor;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.Replies;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway;
import org.peridotroute.scheduler.port.WorkerGateway.CallOutcome;
import org.peridotroute.scheduler.port.WorkerGateway.CallReply;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.scheduler.port.WorkerGateway.StartRequest;

/** Sends starts and stops to workers and interprets the replies. Confined to the control thread. */
final class RunCalls {
  private final WorkerManager manager;
  private final WorkerGateway gateway;
  private final DispatchSettings settings;
  private final Term term;
  private final Executor control;
  private final Time time;
  private final Events events;
  private final WorkerManager.Listener listener;
  private final StartQueue starts;

  RunCalls(
      WorkerManager manager,
      WorkerGateway gateway,
      DispatchSettings settings,
      Term term,
      Executor control,
      Time time,
      Events events,
      WorkerManager.Listener listener) {
    this.manager = manager;
    this.gateway = gateway;
    this.settings = settings;
    this.term = term;
    this.control = control;
    this.time = time;
    this.events = events;
    this.listener = listener;
    starts = new StartQueue(settings.maxStartBytesInFlight());
  }

  /** Sends the start of an attempt whose assignment is on the log, as soon as the link allows. */
  void sendStart(WorkerState worker, Attempt attempt, StartParameters parameters) {
    starts.add(worker, attempt, parameters);
    sendWaitingStarts();
  }

  /** Sends the waiting starts for which the link has room, unless the term is in doubt. */
  void sendWaitingStarts() {
    while (!manager.isClosed() && listener.mayStart()) {
      StartQueue.Waiting next = starts.poll();
      if (next == null) {
        return;
      }
      if (next.attempt().isEnded()) {
        continue;
      }
      if (next.attempt().isStopRequested()) {
        manager.withdraw(next.worker(), next.attempt(), "stopped before the start was sent");
      } else if (!next.worker().isUsable(time.steadyMillis())) {
        manager.withdraw(next.worker(), next.attempt(), "the assigned worker is no longer usable");
      } else if (next.worker().isOvercommitted()) {
        manager.withdraw(next.worker(), next.attempt(), "the assigned worker has shrunk");
      } else {
        next.attempt().moveTo(Attempt.State.SENT, time.steadyMillis());
        send(next);
      }
    }
  }

  private void send(StartQueue.Waiting start) {
    starts.onSent(start);
    WorkerState worker = start.worker();
    long now = time.steadyMillis();
    worker.onLeaseGranted(now + settings.leaseExpiryMillis());
    StartRequest request =
        new StartRequest(
            start.attempt().key().task(),
            start.attempt().key().run(),
            start.parameters().payload(),
            worker.clockMillis(now) + settings.leaseMillis(),
            term.token(),
            start.parameters().checkpoint(),
            null);
    Replies.deliver(
        gateway.start(worker.target(), request),
        control,
        reply -> {
          starts.onReturned(start);
          if (!manager.isClosed()) {
            onStartReply(start, reply, now);
            sendWaitingStarts();
          }
        });
  }

  private void onStartReply(StartQueue.Waiting start, CallReply reply, long sentMillis) {
    WorkerState worker = start.worker();
    Attempt attempt = start.attempt();
    manager.recordReplyClock(worker, reply);
    if (attempt.isEnded()) {
      return;
    }
    boolean repeated = attempt.state() == Attempt.State.UNCERTAIN;
    switch (reply.outcome()) {
      case DONE -> {
        attempt.moveTo(Attempt.State.RUNNING, time.steadyMillis());
        attempt.markSettled(manager.nextSequence());
        return;
      }
      case FENCED -> {
        listener.onFenced(worker.id());
        return;
      }
      case OTHER_LIFE -> {
        if (!repeated) {
          manager.endAttempt(
              worker, attempt, RunEnd.LAPSED, "", "the worker had crashed before the start");
        }
        manager.onWorkerGone(worker, "another incarnation replied at its address");
      }
      case INVALID ->
          manager.endAttempt(
              worker, attempt, RunEnd.FAILED, "", "the worker rejected the start as malformed");
      default -> {
        if (reply.outcome() == CallOutcome.UNKNOWN && worker.lastReplyMillis() < sentMillis) {
          manager.onStartUnanswered(worker);
        }
        if (attempt.state() == Attempt.State.RUNNING) {
          return;
        }
        onStartNotConfirmed(start, reply.outcome(), repeated);
      }
    }
    reportNotTaken(start, reply.outcome(), repeated);
  }

  private void reportNotTaken(StartQueue.Waiting start, CallOutcome outcome, boolean repeated) {
    events.warn(
        "start-not-taken",
        "task",
        start.attempt().key().task(),
        "run",
        start.attempt().key().run(),
        "worker",
        start.worker().id(),
        "outcome",
        outcome,
        "repeated",
        repeated);
  }

  private void onStartNotConfirmed(
      StartQueue.Waiting start, CallOutcome outcome, boolean repeated) {
    WorkerState worker = start.worker();
    Attempt attempt = start.attempt();
    if (outcome == CallOutcome.UNKNOWN) {
      attempt.moveTo(Attempt.State.UNCERTAIN, time.steadyMillis());
      // A repeat to a worker that crashed under the first call may crash the next incarnation.
      boolean mayRepeat =
          !repeated
              && !attempt.isSuspect()
              && !attempt.isStopRequested()
              && worker.hasSeenToken()
              && worker.leaseHold().mayExtend()
              && !worker.isInClosedDataCentre()
              && listener.mayStart();
      if (mayRepeat) {
        // Harmless if the first call has taken effect or does so later.
        send(start);
      } else {
        stopUncertain(worker, attempt);
      }
    } else if (repeated) {
      // The first call may have started the run, or may still do so.
      stopUncertain(worker, attempt);
    } else {
      listener.health().onStartRefused(worker);
      manager.endAttempt(worker, attempt, RunEnd.STOPPED, "", "start refused: " + outcome);
    }
  }

  /** Stops a run of which it is not known whether it has started, or will. */
  private void stopUncertain(WorkerState worker, Attempt attempt) {
    attempt.requestStop(time.steadyMillis());
    if (attempt.isStopCallDue(time.steadyMillis())) {
      sendStop(worker, attempt);
    }
  }

  void sendStop(WorkerState worker, Attempt attempt) {
    attempt.onStopSent();
    Replies.deliver(
        gateway.stop(worker.target(), attempt.key().task(), attempt.key().run(), term.token()),
        control,
        reply -> {
          if (!manager.isClosed()) {
            onStopReply(worker, attempt, reply);
          }
        });
  }

  private void onStopReply(WorkerState worker, Attempt attempt, CallReply reply) {
    manager.recordReplyClock(worker, reply);
    switch (reply.outcome()) {
      case DONE, SUPERSEDED -> {
        attempt.onStopReturned(
            time.steadyMillis() + settings.stopMillis() + WorkerManager.RETRY_MILLIS);
        attempt.markSettled(manager.nextSequence());
        if (!attempt.isEnded() && attempt.state() == Attempt.State.UNCERTAIN) {
          manager.pollAgain(worker);
        }
      }
      case FENCED -> listener.onFenced(worker.id());
      case OTHER_LIFE -> manager.onWorkerGone(worker, "another incarnation replied at its address");
      default -> attempt.onStopReturned(time.steadyMillis() + WorkerManager.RETRY_MILLIS);
    }
  }
}
