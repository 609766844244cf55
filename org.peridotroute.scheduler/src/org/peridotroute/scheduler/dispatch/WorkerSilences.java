package org.peridotroute.scheduler.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.table.CrashHistory;

/**
 * Remembers when workers stopped replying and which jobs they ran, so that the crash of one worker
 * can be told from a failure that several share. Confined to the control thread.
 */
final class WorkerSilences {
  /**
   * Difference up to which two silences count as simultaneous. A worker that fails without a reset
   * of its connections is noticed when a poll times out.
   */
  private static final long SAME_MOMENT_MILLIS = 1_000;

  private static final long KEPT_MILLIS = 60_000;

  /** Workers that stop replying together, without a run that explains it, in a shared failure. */
  private static final int MIN_SHARED_FAILURE = 3;

  private static final double MIN_SHARED_FAILURE_SHARE = 0.05;

  private record Silence(long sinceMillis, Set<JobId> jobs, boolean explained) {}

  private final Map<WorkerId, Silence> silences = new HashMap<>();
  private final WorkerManager.Listener listener;

  WorkerSilences(WorkerManager.Listener listener) {
    this.listener = listener;
  }

  /** Records that a worker has stopped replying. */
  void begin(WorkerState worker, long nowMillis) {
    silences.values().removeIf(silence -> nowMillis - silence.sinceMillis() > KEPT_MILLIS);
    Silence latest = new Silence(nowMillis, jobs(worker), hasLikelyCause(worker, nowMillis));
    if (silences.putIfAbsent(worker.id(), latest) == null) {
      listener.health().onSilence(worker);
    }
  }

  private static boolean hasLikelyCause(WorkerState worker, long nowMillis) {
    return worker.attempts().stream()
        .filter(attempt -> attempt.state() != Attempt.State.PLANNED)
        .anyMatch(
            attempt ->
                attempt.isOnProbation(nowMillis)
                    || nowMillis - attempt.sentMillis() <= CrashHistory.YOUNG_RUN_MILLIS);
  }

  /** Forgets the silence of a worker that replies again. */
  void end(WorkerState worker) {
    if (silences.remove(worker.id()) != null) {
      listener.health().onRegained(worker);
    }
  }

  /**
   * Records for each started run on a worker under which circumstances the worker crashed.
   *
   * @param workerCount number of known workers
   */
  void markCrashed(WorkerState worker, int workerCount, long nowMillis) {
    begin(worker, nowMillis);
    listener.health().onCrashed(worker);
    long sinceMillis = silences.get(worker.id()).sinceMillis();
    Set<JobId> jobs = jobs(worker);
    double minShared = Math.max(MIN_SHARED_FAILURE, MIN_SHARED_FAILURE_SHARE * workerCount);
    for (Attempt attempt : worker.attempts()) {
      if (attempt.state() != Attempt.State.PLANNED) {
        JobId job = attempt.key().task().job();
        int othersSilent = countOthers(worker.id(), sinceMillis, job);
        attempt.markCrashed(
            new CrashEvidence(
                Math.max(0, sinceMillis - attempt.sentMillis()),
                jobs.size() - 1,
                othersSilent,
                othersSilent >= minShared));
      }
    }
  }

  private int countOthers(WorkerId worker, long sinceMillis, JobId job) {
    int count = 0;
    for (Map.Entry<WorkerId, Silence> entry : silences.entrySet()) {
      Silence other = entry.getValue();
      boolean sameMoment = Math.abs(other.sinceMillis() - sinceMillis) <= SAME_MOMENT_MILLIS;
      boolean unexplained = !other.explained() && !other.jobs().contains(job);
      if (sameMoment && unexplained && !entry.getKey().equals(worker)) {
        count++;
      }
    }
    return count;
  }

  private static Set<JobId> jobs(WorkerState worker) {
    Set<JobId> jobs = new HashSet<>();
    for (Attempt attempt : worker.attempts()) {
      if (attempt.state() != Attempt.State.PLANNED) {
        jobs.add(attempt.key().task().job());
      }
    }
    return jobs;
  }
}
