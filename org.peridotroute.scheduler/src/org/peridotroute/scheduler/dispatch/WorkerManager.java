package org.peridotroute.scheduler.dispatch;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.place.Closures;
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

/**
 * Polls workers and determines what became of each run. A run has ended only when the worker
 * reports its end, when the complete lists of a poll sent after its last start or stop call was
 * settled do not name it, when another incarnation has replied, or when all leases granted to the
 * worker have expired. Neither a refused connection nor the removal of a worker from the list ends
 * a run: the worker may be cut off and run on.
 */
final class WorkerManager {
  /** Delay before a failed call is retried. */
  static final long RETRY_MILLIS = 300;

  /** Calls in a row without a reply after which the log says that a worker is silent. */
  private static final int MIN_SILENT_CALLS = 2;

  /** Called by the manager on the control thread. */
  interface Listener {
    /**
     * Creates the attempt for a run that a worker reports and the manager does not know.
     *
     * @param worker the worker
     * @param key identity of the run
     * @return the attempt; its run is stopped unless it is the current run of its task
     */
    Attempt adopt(WorkerId worker, Attempt.Key key);

    /** Called once for each attempt that has ended, whatever the cause. */
    void onRunEnded(
        WorkerState worker, Attempt attempt, RunEnd end, String checkpoint, String evidence);

    /** Runs an action once the ends reported so far are on the log. */
    void afterStored(Runnable action);

    /**
     * Returns whether the log has confirmed the term recently, so that leases may be extended.
     *
     * @param leaving whether the worker leaves
     */
    boolean mayExtendLeases(boolean leaving);

    /** Returns whether the term and the list of workers are known recently enough to start runs. */
    boolean mayStart();

    /** Called when a worker has seen a greater fencing token. */
    void onFenced(WorkerId by);

    /** Called when it has changed whether the record of a worker has to say that it is silent. */
    void onSilenceChanged(WorkerState worker);

    /** Returns what limits the new work of workers. */
    WorkerHealth health();

    /** Called when free capacity or the known state of a worker has changed. */
    void onChanged();
  }

  private final WorkerGateway gateway;
  private final DispatchSettings settings;
  private final Term term;
  private final Executor control;
  private final Time time;
  private final Events events;
  private final Listener listener;
  private final Map<WorkerId, WorkerState> workers = new TreeMap<>();
  private final RunCalls runCalls;
  private final WorkerSilences silences;
  private final long inheritedLeasesExpireMillis;
  private Closures closures = Closures.UNKNOWN;
  private Configuration configuration;
  private Set<String> servicesOfJobs = Set.of();
  private long lastSequence;
  private boolean closed;

  WorkerManager(
      WorkerGateway gateway,
      DispatchSettings settings,
      Term term,
      Executor control,
      Time time,
      Events events,
      Inheritance inheritance,
      Listener listener) {
    this.gateway = gateway;
    this.settings = settings;
    this.term = term;
    this.control = control;
    this.time = time;
    this.events = events;
    this.listener = listener;
    silences = new WorkerSilences(listener);
    runCalls = new RunCalls(this, gateway, settings, term, control, time, events, listener);
    inheritedLeasesExpireMillis = inheritance.grantsEnd().millis() + settings.leaseExpiryMillis();
    for (StoredWorkerRecord stored : inheritance.workers()) {
      WorkerState worker = getOrCreate(stored.record().id());
      worker.inherit(stored, inheritance.grantsEnd(), settings.leaseExpiryMillis());
    }
  }

  void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns the calls that start and stop runs. */
  RunCalls runCalls() {
    return runCalls;
  }

  /** Returns a number greater than those of all polls and replies so far. */
  long nextSequence() {
    return ++lastSequence;
  }

  Collection<WorkerState> workers() {
    return workers.values();
  }

  WorkerState getOrCreate(WorkerId id) {
    return workers.computeIfAbsent(id, key -> new WorkerState(key, inheritedLeasesExpireMillis));
  }

  WorkerState find(WorkerId id) {
    return workers.get(id);
  }

  /** Handles the description that a worker publishes of itself. */
  void onListed(WorkerInfo info) {
    WorkerState worker = getOrCreate(info.id());
    boolean wasDraining = worker.info() != null && worker.info().draining();
    if (!worker.isListed()) {
      events.info("worker-listed", "worker", info.id(), "address", info.address());
      worker.pollNow();
    }
    if (info.draining() && !wasDraining) {
      events.info(
          "worker-draining", "worker", info.id(), "remainingMillis", info.remainingMillis());
    }
    worker.markListed(info, time.steadyMillis());
    worker.setInClosedDataCentre(closures.isClosed(info.dataCentre()));
    worker.setServiceInUse(isInUse(info.service()));
    probeOthersAt(worker);
  }

  /**
   * Polls the other workers with the address of a worker. At most one of them lives, but a list
   * entry does not tell which: a delayed heartbeat may list a crashed worker after its successor.
   */
  private void probeOthersAt(WorkerState worker) {
    for (WorkerState other : workers.values()) {
      boolean sameAddress =
          other.info() != null && other.info().address().equals(worker.info().address());
      if (other != worker && sameAddress && other.isPolled()) {
        pollAgain(other);
      }
    }
  }

  /** Sets the configuration in force, which names the services. */
  void configure(Configuration latest) {
    configuration = latest;
    updateServicesInUse();
  }

  /** Sets the services whose workers run the tasks of open jobs. */
  void setServicesOfJobs(Set<String> services) {
    if (!services.equals(servicesOfJobs)) {
      servicesOfJobs = Set.copyOf(services);
      updateServicesInUse();
    }
  }

  private void updateServicesInUse() {
    for (WorkerState worker : workers.values()) {
      worker.setServiceInUse(worker.hasInfo() && isInUse(worker.info().service()));
    }
  }

  private boolean isInUse(String service) {
    return servicesOfJobs.contains(service)
        || (configuration != null && configuration.hasService(service));
  }

  /** Sets the data centres that are closed for new work. */
  void setClosures(Closures latest) {
    closures = latest;
    for (WorkerState worker : workers.values()) {
      boolean closed = worker.hasInfo() && closures.isClosed(worker.info().dataCentre());
      worker.setInClosedDataCentre(closed);
    }
  }

  /** Handles the removal of a worker from the list. */
  void onUnlisted(WorkerId id) {
    WorkerState worker = workers.get(id);
    if (worker == null) {
      return;
    }
    events.info("worker-unlisted", "worker", id, "runs", worker.attempts().size());
    worker.markUnlisted();
    listener.onChanged();
  }

  /** Sends the calls that are due and ends the runs whose leases have expired. */
  void tick() {
    long now = time.steadyMillis();
    runCalls.sendWaitingStarts();
    for (WorkerState worker : List.copyOf(workers.values())) {
      expireLeases(worker, now);
      holdLeasesIfSilent(worker, now);
      if (worker.info() == null) {
        continue;
      }
      for (Attempt attempt : worker.attempts()) {
        if (attempt.isStopCallDue(now)) {
          runCalls.sendStop(worker, attempt);
        }
      }
      if (worker.isPolled() && worker.isPollDue(now)) {
        poll(worker, now);
      }
      if (!worker.isListed() && worker.attempts().isEmpty() && !worker.pollInFlight()) {
        workers.remove(worker.id());
      }
    }
  }

  /**
   * Ends the runs of a worker whose leases have expired. The runs are over then, but only the
   * worker knows which of them are done, so it has been asked in vain before.
   */
  private void expireLeases(WorkerState worker, long now) {
    boolean unreachable = worker.info() == null || worker.unansweredCalls() > 0;
    if (unreachable && worker.haveLeasesExpired(now) && !worker.attempts().isEmpty()) {
      endSentAttempts(worker, "all its leases have expired");
    }
  }

  /**
   * Records that a worker is silent, once no lease that any planner has granted can last longer
   * than one that is granted now.
   */
  private void holdLeasesIfSilent(WorkerState worker, long now) {
    boolean silent =
        worker.hasInfo()
            && worker.unansweredCalls() >= MIN_SILENT_CALLS
            && !worker.attempts().isEmpty();
    if (silent
        && !worker.leaseHold().isHeld()
        && worker.maxLeaseMillis(now) <= settings.leaseExpiryMillis()) {
      worker.leaseHold().hold(worker.maxLeaseMillis(now));
      listener.onSilenceChanged(worker);
    }
  }

  private void releaseLeases(WorkerState worker) {
    int release = worker.leaseHold().beginRelease();
    listener.onSilenceChanged(worker);
    listener.afterStored(() -> worker.leaseHold().onReleaseStored(release));
  }

  private void endSentAttempts(WorkerState worker, String evidence) {
    for (Attempt attempt : List.copyOf(worker.attempts())) {
      if (attempt.state() != Attempt.State.PLANNED) {
        endAttempt(worker, attempt, attempt.endIfLost(), "", evidence);
      }
    }
  }

  /** Ends all runs on a worker whose incarnation is gone. */
  void onWorkerGone(WorkerState worker, String evidence) {
    boolean crashed = !worker.info().draining();
    events.info(
        "worker-gone",
        "worker",
        worker.id(),
        "evidence",
        evidence,
        "crashed",
        crashed,
        "runs",
        worker.attempts().size());
    if (crashed) {
      silences.markCrashed(worker, workers.size(), time.steadyMillis());
    }
    worker.markUnlisted();
    endSentAttempts(worker, evidence);
  }

  /** Ends an attempt and reports its end once. */
  void endAttempt(
      WorkerState worker, Attempt attempt, RunEnd end, String checkpoint, String evidence) {
    if (attempt.isEnded()) {
      return;
    }
    attempt.markEnded();
    worker.attemptsByKey().remove(attempt.key());
    listener.onRunEnded(worker, attempt, end, checkpoint, evidence);
    listener.onChanged();
  }

  /** Ends an attempt whose start was never sent. */
  void withdraw(WorkerState worker, Attempt attempt, String evidence) {
    endAttempt(worker, attempt, RunEnd.STOPPED, "", evidence);
  }

  private void poll(WorkerState worker, long now) {
    boolean mayHold = worker.hasSeenToken() && worker.lastSeenEnd() == worker.lastStoredEnd();
    long waitMillis = mayHold && worker.unansweredCalls() == 0 ? settings.pollWaitMillis() : 0;
    long sequence = nextSequence();
    worker.onPollSent();
    Replies.deliver(
        sendPoll(worker, now, waitMillis),
        control,
        reply -> {
          if (!closed) {
            worker.onPollReturned(reply, time.steadyMillis());
            onPollReply(worker, reply, sequence);
          }
        });
  }

  /**
   * Sends a poll besides the one in flight, which the worker may hold, so that the state of a run
   * is known soon.
   */
  void pollAgain(WorkerState worker) {
    long sequence = nextSequence();
    Replies.deliver(
        sendPoll(worker, time.steadyMillis(), 0),
        control,
        reply -> {
          if (!closed) {
            onPollReply(worker, reply, sequence);
          }
        });
  }

  private CompletableFuture<PollReply> sendPoll(WorkerState worker, long now, long waitMillis) {
    long workerClock = worker.clockMillis(now);
    // Leases of a worker that does not reply are not extended, or they would never expire.
    boolean extend =
        workerClock >= 0
            && worker.unansweredCalls() == 0
            && worker.leaseHold().mayExtend()
            && !worker.attempts().isEmpty()
            && listener.mayExtendLeases(worker.info().draining());
    long leaseMillis = worker.leaseMillis(settings.leaseMillis(), now);
    long leaseEnd = extend ? workerClock + leaseMillis : -1;
    if (extend) {
      worker.onLeaseGranted(now + DispatchSettings.expiryMillis(leaseMillis));
    }
    long acknowledged = worker.endToAcknowledge();
    CompletableFuture<PollReply> future =
        gateway.poll(
            worker.target(), new PollRequest(term.token(), leaseEnd, acknowledged, waitMillis));
    Replies.deliver(
        future,
        control,
        reply -> {
          if (reply.outcome() == CallOutcome.DONE) {
            worker.onEndAcknowledged(acknowledged, reply.startedAtMillis());
          }
        });
    return future;
  }

  private void onPollReply(WorkerState worker, PollReply reply, long sequence) {
    switch (reply.outcome()) {
      case DONE -> onPollSuccess(worker, reply, sequence);
      case FENCED -> listener.onFenced(worker.id());
      case OTHER_LIFE -> onWorkerGone(worker, "another incarnation replied at its address");
      default -> onNoReply(worker, reply.outcome());
    }
  }

  /** Records that a start went unanswered. */
  void onStartUnanswered(WorkerState worker) {
    silences.begin(worker, time.steadyMillis());
    worker.onNoReply();
  }

  private void onNoReply(WorkerState worker, CallOutcome outcome) {
    if (worker.unansweredCalls() == 0) {
      events.warn(
          "worker-lost",
          "worker",
          worker.id(),
          "outcome",
          outcome,
          "runs",
          worker.attempts().size());
      silences.begin(worker, time.steadyMillis());
    }
    worker.onNoReply();
  }

  private void onPollSuccess(WorkerState worker, PollReply reply, long sequence) {
    long now = time.steadyMillis();
    if (worker.unansweredCalls() > 0) {
      events.info("worker-regained", "worker", worker.id(), "calls", worker.unansweredCalls());
      listener.onChanged();
    }
    if (worker.isOtherIncarnation(reply.startedAtMillis())) {
      events.info("worker-reborn", "worker", worker.id(), "bornMillis", reply.startedAtMillis());
      onIncarnationReplaced(worker);
    } else {
      silences.end(worker);
    }
    worker.onReplyClock(reply.clockMillis(), now);
    if (worker.leaseHold().isHeld()) {
      releaseLeases(worker);
    }
    if (!worker.hasSeenToken()) {
      worker.markTokenSeen(reply.startedAtMillis(), now + settings.leaseExpiryMillis());
      listener.onChanged();
    }
    Set<Attempt.Key> present = new HashSet<>();
    for (RunningTask task : reply.running()) {
      Attempt.Key key = new Attempt.Key(task.task(), task.run());
      present.add(key);
      onRunningTask(worker, key, task, now);
    }
    for (EndedTask task : reply.ended()) {
      present.add(new Attempt.Key(task.task(), task.run()));
      onEndedTask(worker, task);
    }
    if (reply.complete()) {
      endAbsentAttempts(worker, present, sequence);
    }
    acknowledgeEndsOnceStored(worker, reply);
  }

  private void endAbsentAttempts(WorkerState worker, Set<Attempt.Key> present, long sequence) {
    for (Attempt attempt : List.copyOf(worker.attempts())) {
      if (!present.contains(attempt.key()) && attempt.isEndedIfAbsentFromPoll(sequence)) {
        endAttempt(worker, attempt, attempt.endIfLost(), "", "absent from a later poll");
      }
    }
  }

  /** Handles a restart of a worker under its former id. Its next poll shows which runs it lost. */
  private void onIncarnationReplaced(WorkerState worker) {
    if (!worker.info().draining()) {
      silences.markCrashed(worker, workers.size(), time.steadyMillis());
    }
    worker.resetIncarnation();
  }

  private void acknowledgeEndsOnceStored(WorkerState worker, PollReply reply) {
    long lastEnd = worker.lastSeenEnd();
    if (reply.ended().isEmpty()) {
      return;
    }
    long startedAt = worker.startedAtMillis();
    listener.afterStored(
        () -> {
          worker.onEndStored(lastEnd, startedAt);
          worker.pollNow();
        });
  }

  private void onRunningTask(WorkerState worker, Attempt.Key key, RunningTask task, long now) {
    Attempt attempt = worker.attemptsByKey().get(key);
    if (attempt == null) {
      attempt = listener.adopt(worker.id(), key);
      worker.attemptsByKey().put(key, attempt);
      if (!attempt.isCurrent()) {
        events.warn("stray-run", "worker", worker.id(), "task", key.task(), "run", key.run());
        attempt.requestStop(now);
      }
    }
    if (attempt.state() != Attempt.State.RUNNING) {
      attempt.moveTo(Attempt.State.RUNNING, now);
    }
    attempt.clearCrash();
    attempt.markSettled(nextSequence());
    attempt.onProgress(task.percent(), task.checkpoint(), now);
  }

  private void onEndedTask(WorkerState worker, EndedTask task) {
    if (task.number() <= worker.lastSeenEnd()) {
      return;
    }
    worker.onEndSeen(task.number());
    Attempt.Key key = new Attempt.Key(task.task(), task.run());
    Attempt attempt = worker.attemptsByKey().get(key);
    if (attempt == null) {
      attempt = listener.adopt(worker.id(), key);
    }
    endAttempt(worker, attempt, task.end(), task.checkpoint(), "reported by the worker");
  }

  /** Records the worker's clock in the reply to a start or stop. */
  void recordReplyClock(WorkerState worker, CallReply reply) {
    // The clock of another incarnation says nothing of the one that was called.
    boolean hasClock = reply.clockMillis() >= 0 && reply.outcome() != CallOutcome.OTHER_LIFE;
    if (hasClock && worker.onReplyClock(reply.clockMillis(), time.steadyMillis())) {
      onIncarnationReplaced(worker);
      worker.pollNow();
    }
  }
}
