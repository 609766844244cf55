package org.peridotroute.bench.policy;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.ConfigFold;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.Folded;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobFold;
import org.peridotroute.fold.JobState;
import org.peridotroute.journal.AttemptEnd;
import org.peridotroute.journal.Envelope;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.Answer;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;
import org.peridotroute.lib.VmId;
import org.peridotroute.policy.ClusterView;
import org.peridotroute.policy.Decision;
import org.peridotroute.policy.PlacementPolicy;

/**
 * Plays one workload through one policy on virtual time, with the real fold. A worker is no more
 * than the run time of what it holds; a reclaimed job takes a while to be stopped, and keeps its
 * progress if it can be checkpointed. Called once.
 */
final class Replay {
  /** How long a reclaimed job takes to write its checkpoint and stop. */
  static final long STOP_MILLIS = 2_000;

  private static final Incarnation WRITER = new Incarnation("replay");
  private static final Answer ANSWER = Answer.of("done");

  private final Workload workload;
  private final PlacementPolicy policy;
  private final Directory directory;
  private final ReplayFigures figures;
  private final PriorityQueue<PendingEnd> due =
      new PriorityQueue<>(
          Comparator.comparingLong(PendingEnd::atMillis).thenComparingLong(PendingEnd::order));
  private final Deque<TraceJob> arrivals;
  private final Map<JobKey, TraceJob> traceJobs = new HashMap<>();
  private final Map<JobKey, Long> remainingMillis = new HashMap<>();
  private final Map<Long, Long> startedMillis = new HashMap<>();
  private JobState jobs = JobState.EMPTY;
  private ConfigState config = ConfigState.EMPTY;
  private long nowMillis;
  private long order;

  /** The end of an attempt that is to come. */
  private record PendingEnd(long atMillis, long order, long token, AttemptEnd end) {}

  Replay(Workload workload, PlacementPolicy policy) {
    this.workload = workload;
    this.policy = policy;
    directory = new Directory(List.of(), workload.workers());
    arrivals = new ArrayDeque<>(workload.jobs());
    figures = new ReplayFigures(workload);
  }

  ReplayFigures call() {
    workload.organisations().forEach(this::declare);
    fold(new LogRecord.PlannerClaimed(new VmId("replay"), 0));
    while (!arrivals.isEmpty() || !due.isEmpty()) {
      advance();
      decide();
      figures.observe(nowMillis, jobs, config, directory);
    }
    figures.finish(nowMillis, jobs);
    return figures;
  }

  private void declare(OrganisationId id, Organisation organisation) {
    LogRecord record = new LogRecord.OrganisationPut(id, organisation, 0);
    config = ConfigFold.fold(config, entry(config.offset() + 1, record)).state();
  }

  /** Moves time on to the next arrival or end, and takes all that is due then. */
  private void advance() {
    long arrival = arrivals.isEmpty() ? Long.MAX_VALUE : arrivals.peek().submitMillis();
    long end = due.isEmpty() ? Long.MAX_VALUE : due.peek().atMillis();
    nowMillis = Math.max(nowMillis, Math.min(arrival, end));
    while (!arrivals.isEmpty() && arrivals.peek().submitMillis() <= nowMillis) {
      submit(arrivals.poll());
    }
    while (!due.isEmpty() && due.peek().atMillis() <= nowMillis) {
      end(due.poll());
    }
  }

  private void submit(TraceJob job) {
    traceJobs.put(job.key(), job);
    remainingMillis.put(job.key(), job.trueRunMillis());
    fold(new LogRecord.JobSubmitted(job.key(), job.spec(), "replay"));
  }

  private void end(PendingEnd ended) {
    Allocation held = jobs.allocations().get(ended.token());
    if (held == null || !startedMillis.containsKey(ended.token())) {
      return;
    }
    JobKey key = held.job();
    long ranMillis = nowMillis - startedMillis.remove(ended.token());
    boolean preempted = ended.end() == AttemptEnd.PREEMPTED;
    if (preempted) {
      figures.preempted(traceJobs.get(key), ranMillis);
      if (traceJobs.get(key).checkpointable()) {
        remainingMillis.merge(key, -ranMillis, Long::sum);
      }
    }
    fold(
        new LogRecord.AttemptEnded(
            key, ended.token(), ended.end(), preempted ? null : ANSWER, null, null));
    fold(new LogRecord.Released(ended.token()));
    if (!preempted) {
      figures.ended(traceJobs.get(key), nowMillis);
    }
  }

  private void decide() {
    List<Decision> decisions = figures.timed(() -> policy.decide(view()));
    long epoch = jobs.epoch();
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Place place) {
        fold(
            new LogRecord.Placed(
                epoch, place.job(), place.attempt(), place.borrowed(), place.members()));
        start(place);
      } else if (decision instanceof Decision.Reclaim reclaim) {
        fold(
            new LogRecord.ReclaimRequested(epoch, reclaim.job(), reclaim.token(), reclaim.owner()));
        due.add(
            new PendingEnd(
                nowMillis + STOP_MILLIS, order++, reclaim.token(), AttemptEnd.PREEMPTED));
      } else if (decision instanceof Decision.Refuse refuse) {
        fold(new LogRecord.JobRefused(epoch, refuse.job(), refuse.reason()));
      }
    }
  }

  private void start(Decision.Place place) {
    Job job = jobs.jobs().get(place.job());
    long token = job.token();
    List<String> leases = place.members().stream().map(member -> "lease").toList();
    fold(new LogRecord.Started(place.job(), token, leases));
    startedMillis.put(token, nowMillis);
    figures.started(traceJobs.get(place.job()), nowMillis);
    long endMillis = nowMillis + Math.max(1, remainingMillis.get(place.job()));
    due.add(new PendingEnd(endMillis, order++, token, AttemptEnd.SUCCEEDED));
  }

  private ClusterView view() {
    return new ClusterView(jobs, config, directory, nowMillis);
  }

  private void fold(LogRecord record) {
    Folded<JobState> folded = JobFold.fold(jobs, entry(jobs.offset() + 1, record));
    if (!folded.verdict().isAccepted()) {
      throw new IllegalStateException(record + " was refused: " + folded.verdict());
    }
    jobs = folded.state();
  }

  private LogEntry entry(long offset, LogRecord record) {
    return new LogEntry(offset, new Envelope(Envelope.VERSION, WRITER, offset, nowMillis, record));
  }
}
