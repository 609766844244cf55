package org.peridotroute.bench.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.peridotroute.control.GangDriver;
import org.peridotroute.control.GangTimes;
import org.peridotroute.control.PendingProposals;
import org.peridotroute.control.Planner;
import org.peridotroute.control.PlannerTimes;
import org.peridotroute.errors.LogUnavailableException;
import org.peridotroute.errors.NotSentException;
import org.peridotroute.errors.RecordsExpiredException;
import org.peridotroute.fold.ConfigFold;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.FoldResult;
import org.peridotroute.fold.JobFold;
import org.peridotroute.fold.JobState;
import org.peridotroute.fold.Verdict;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.journal.RecordCodec;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.VmId;
import org.peridotroute.policy.ClusterView;
import org.peridotroute.policy.PlacementPolicy;
import org.peridotroute.snapshot.Snapshot;

/**
 * One VM of the fuzzer: the production fold, planner and gang driver, with explicit steps in place
 * of the server's threads and transports. Used by one thread.
 */
final class FuzzVm {
  static final GangTimes GANG_TIMES = new GangTimes(3_000, 800, 400, 2_000, 100);
  static final PlannerTimes PLANNER_TIMES = new PlannerTimes(500, 2_000);

  private static final int MAX_BATCH = 20;
  private static final int MAX_READ = 50;
  private static final int MAX_QUEUE = 200;

  private final VmId id;
  private final FuzzLog log;
  private final FuzzClock clock;
  private final PendingProposals journalProposals;
  private final PendingProposals configProposals;
  private final List<String> journalQueue = new ArrayList<>();
  private final List<String> configQueue = new ArrayList<>();
  private final Planner planner;
  private final GangDriver driver;
  private final double clockRate;
  private JobState jobs = JobState.EMPTY;
  private ConfigState config = ConfigState.EMPTY;
  private Directory directory = Directory.EMPTY;
  private final InjectedDefect defect;
  private boolean ready;
  private boolean paused;
  private boolean stopping;

  FuzzVm(
      VmId id,
      Incarnation incarnation,
      FuzzLog log,
      FuzzClock clock,
      FuzzNetwork network,
      PlacementPolicy policy,
      InjectedDefect defect,
      double clockRate) {
    this.id = id;
    this.defect = defect;
    ready = defect == InjectedDefect.READY_TOO_EARLY;
    this.log = log;
    this.clock = clock;
    this.clockRate = clockRate;
    journalProposals = new PendingProposals(incarnation);
    configProposals = new PendingProposals(incarnation);
    planner = new Planner(id, incarnation, PLANNER_TIMES, policy, this::propose);
    driver =
        new GangDriver(
            id,
            GANG_TIMES,
            (worker, command) -> network.send(this, worker, command),
            this::propose,
            Runnable::run);
  }

  VmId id() {
    return id;
  }

  JobState jobs() {
    return jobs;
  }

  ConfigState config() {
    return config;
  }

  Directory directory() {
    return directory;
  }

  void updateDirectory(Directory latest) {
    if (!latest.equals(directory)) {
      directory = latest;
    }
  }

  boolean isPaused() {
    return paused;
  }

  void setPaused(boolean value) {
    paused = value;
  }

  boolean isPlanner() {
    return planner.holdsRole(jobs);
  }

  /** Stops planning, as at the beginning of a planned stop. */
  void beginPlannedStop() {
    stopping = true;
  }

  /** Returns whether every proposed record has been read back from the log. */
  boolean isDrained() {
    return journalProposals.size() + configProposals.size() == 0;
  }

  void dropQueues() {
    journalQueue.clear();
    configQueue.clear();
  }

  /** Returns whether both streams have been read to their ends at least once. */
  boolean isReady() {
    return ready;
  }

  CompletableFuture<Verdict> propose(LogRecord record) {
    if (defect == InjectedDefect.DROP_RELEASES && record instanceof LogRecord.Released) {
      return new CompletableFuture<>();
    }
    return enqueue(record, journalProposals, journalQueue);
  }

  CompletableFuture<Verdict> proposeConfig(LogRecord record) {
    return enqueue(record, configProposals, configQueue);
  }

  /** Reads from the log, plans, drives gangs and appends to the log, as far as each is due. */
  void step() {
    read();
    if (ready && !stopping) {
      planner.step(new ClusterView(jobs, config, directory, clock.nowMillis()), localMillis());
    }
    if (ready) {
      driver.step(jobs, directory, localMillis());
    }
    write();
  }

  void read() {
    try {
      List<LogEntry> journalEntries = log.read(FuzzLog.JOURNAL, jobs.offset() + 1, MAX_READ);
      journalEntries.forEach(this::foldJournal);
      List<LogEntry> configEntries = log.read(FuzzLog.CONFIG, config.offset() + 1, MAX_READ);
      configEntries.forEach(this::foldConfig);
      ready = ready || (journalEntries.size() < MAX_READ && configEntries.size() < MAX_READ);
    } catch (LogUnavailableException e) {
      // The state is unchanged; the next step retries.
    } catch (RecordsExpiredException e) {
      restore(log.readSnapshot());
    }
  }

  void write() {
    append(FuzzLog.JOURNAL, journalQueue);
    append(FuzzLog.CONFIG, configQueue);
  }

  private CompletableFuture<Verdict> enqueue(
      LogRecord record, PendingProposals proposals, List<String> queue) {
    CompletableFuture<Verdict> outcome = new CompletableFuture<>();
    if (queue.size() >= MAX_QUEUE) {
      outcome.completeExceptionally(NotSentException.ringFull(id.value()));
    } else {
      queue.add(RecordCodec.encode(proposals.register(record, clock.nowMillis(), outcome)));
    }
    return outcome;
  }

  private void append(String stream, List<String> queue) {
    List<String> batch = List.copyOf(queue.subList(0, Math.min(MAX_BATCH, queue.size())));
    if (batch.isEmpty()) {
      return;
    }
    try {
      log.append(stream, batch);
      queue.subList(0, batch.size()).clear();
    } catch (LogUnavailableException e) {
      // The batch stays at the head of the queue; the next step retries it.
    }
  }

  /** Adopts the state of a snapshot from the log or from a peer where it is newer. */
  void restore(Snapshot snapshot) {
    if (snapshot.jobs().offset() > jobs.offset()) {
      jobs = snapshot.jobs();
      journalProposals.failUpTo(jobs.writers());
    }
    if (snapshot.config().offset() > config.offset()) {
      config = snapshot.config();
      configProposals.failUpTo(config.writers());
    }
  }

  /** Returns the current state, to be sent to a peer or written to the log. */
  Snapshot snapshot() {
    return new Snapshot(jobs, config);
  }

  private void foldJournal(LogEntry entry) {
    FoldResult<JobState> folded = JobFold.fold(jobs, entry);
    jobs = folded.state();
    journalProposals.resolve(entry, folded.verdict());
  }

  private void foldConfig(LogEntry entry) {
    FoldResult<ConfigState> folded = ConfigFold.fold(config, entry);
    config = folded.state();
    configProposals.resolve(entry, folded.verdict());
  }

  private long localMillis() {
    return (long) (clock.nowMillis() * clockRate);
  }
}
