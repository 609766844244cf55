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
import org.peridotroute.fold.FoldResult;
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
 * Replays one workload with one policy on virtual time, with the production fold. Workers are
 * modelled only by the run time of their jobs. A reclaimed job takes {@link #STOP_MILLIS} to stop
 * and keeps its progress if it is checkpointable. Can be run only once.
 */
final class Replay {
  /** Time that a reclaimed job takes to write its checkpoint and stop. */
  static final long STOP_MILLIS = 2_000;

  private static final Incarnation WRITER = new Incarnation("replay");
  private static final Answer ANSWER = Answer.of("done");

  private final Workload workload;
  private final PlacementPolicy policy;
  private final Directory directory;
  private final ReplayFigures figures;
  private final PriorityQueue<PendingEnd> pendingEnds =
      new PriorityQueue<>(
          Comparator.comparingLong(PendingEnd::atMillis).thenComparingLong(PendingEnd::order));
  private final Deque<TraceJob> arrivals;
  private final Map<JobKey, TraceJob> traceJobs = new HashMap<>();
  private final Map<JobKey, Long> remainingMillis = new HashMap<>();
  private final Map<Long, Long> startedMillis = new HashMap<>();
  private JobState jobs = JobState.EMPTY;
  private ConfigState config = ConfigState.EMPTY;
  private long nowMillis;
  private long nextOrder;

  /** The scheduled end of an attempt. */
  private record PendingEnd(long atMillis, long order, long token, AttemptEnd end) {}

  Replay(Workload workload, PlacementPolicy policy) {
    this.workload = workload;
    this.policy = policy;
    directory = new Directory(List.of(), workload.workers());
    arrivals = new ArrayDeque<>(workload.jobs());
    figures = new ReplayFigures(workload);
  }

  /** Replays the workload until all jobs have ended, and returns the figures. */
  ReplayFigures run() {
    workload.organisations().forEach(this::declare);
    fold(new LogRecord.PlannerClaimed(new VmId("replay"), 0));
    while (!arrivals.isEmpty() || !pendingEnds.isEmpty()) {
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

  /** Advances the clock to the next arrival or end, and processes those due at that time. */
  private void advance() {
    long arrival = arrivals.isEmpty() ? Long.MAX_VALUE : arrivals.peek().submitMillis();
    long end = pendingEnds.isEmpty() ? Long.MAX_VALUE : pendingEnds.peek().atMillis();
    nowMillis = Math.max(nowMillis, Math.min(arrival, end));
    while (!arrivals.isEmpty() && arrivals.peek().submitMillis() <= nowMillis) {
      submit(arrivals.poll());
    }
    while (!pendingEnds.isEmpty() && pendingEnds.peek().atMillis() <= nowMillis) {
      end(pendingEnds.poll());
    }
  }

  private void submit(TraceJob job) {
    traceJobs.put(job.key(), job);
    remainingMillis.put(job.key(), job.trueRunMillis());
    fold(new LogRecord.JobSubmitted(job.key(), job.spec(), "replay"));
  }

  private void end(PendingEnd pending) {
    Allocation held = jobs.allocations().get(pending.token());
    if (held == null || !startedMillis.containsKey(pending.token())) {
      return;
    }
    JobKey key = held.job();
    long ranMillis = nowMillis - startedMillis.remove(pending.token());
    boolean preempted = pending.end() == AttemptEnd.PREEMPTED;
    if (preempted) {
      figures.onPreempted(traceJobs.get(key), ranMillis);
      if (traceJobs.get(key).checkpointable()) {
        remainingMillis.merge(key, -ranMillis, Long::sum);
      }
    }
    fold(
        new LogRecord.AttemptEnded(
            key, pending.token(), pending.end(), preempted ? null : ANSWER, null, null));
    fold(new LogRecord.Released(pending.token()));
    if (!preempted) {
      figures.onEnded(traceJobs.get(key), nowMillis);
    }
  }

  private void decide() {
    List<Decision> decisions = figures.measurePass(() -> policy.decide(view()));
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
        pendingEnds.add(
            new PendingEnd(
                nowMillis + STOP_MILLIS, nextOrder++, reclaim.token(), AttemptEnd.PREEMPTED));
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
    figures.onStarted(traceJobs.get(place.job()), nowMillis);
    long endMillis = nowMillis + Math.max(1, remainingMillis.get(place.job()));
    pendingEnds.add(new PendingEnd(endMillis, nextOrder++, token, AttemptEnd.SUCCEEDED));
  }

  private ClusterView view() {
    return new ClusterView(jobs, config, directory, nowMillis);
  }

  private void fold(LogRecord record) {
    FoldResult<JobState> folded = JobFold.fold(jobs, entry(jobs.offset() + 1, record));
    if (!folded.verdict().isAccepted()) {
      throw new IllegalStateException(record + " was rejected: " + folded.verdict());
    }
    jobs = folded.state();
  }

  private LogEntry entry(long offset, LogRecord record) {
    return new LogEntry(offset, new Envelope(Envelope.VERSION, WRITER, offset, nowMillis, record));
  }
}
