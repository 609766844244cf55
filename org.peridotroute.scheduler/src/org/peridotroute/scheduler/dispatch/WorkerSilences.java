package org.peridotroute.scheduler.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.JobId;

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

  private record Silence(long sinceMillis, Set<JobId> jobs) {}

  private final Map<WorkerId, Silence> silences = new HashMap<>();

  /** Records that a worker has stopped replying. */
  void begin(WorkerState worker, long nowMillis) {
    silences.values().removeIf(silence -> nowMillis - silence.sinceMillis() > KEPT_MILLIS);
    silences.putIfAbsent(worker.id(), new Silence(nowMillis, jobs(worker)));
  }

  /** Forgets the silence of a worker that replies again. */
  void end(WorkerState worker) {
    silences.remove(worker.id());
  }

  /** Records for each started run on a worker under which circumstances the worker crashed. */
  void markCrashed(WorkerState worker, long nowMillis) {
    begin(worker, nowMillis);
    long sinceMillis = silences.get(worker.id()).sinceMillis();
    Set<JobId> jobs = jobs(worker);
    for (Attempt attempt : worker.attempts()) {
      if (attempt.state() != Attempt.State.PLANNED) {
        JobId job = attempt.key().task().job();
        attempt.markCrashed(
            new CrashEvidence(
                Math.max(0, sinceMillis - attempt.sentMillis()),
                jobs.size() - (jobs.contains(job) ? 1 : 0),
                countOthers(worker.id(), sinceMillis, job)));
      }
    }
  }

  private int countOthers(WorkerId worker, long sinceMillis, JobId job) {
    int count = 0;
    for (Map.Entry<WorkerId, Silence> entry : silences.entrySet()) {
      Silence other = entry.getValue();
      boolean sameMoment = Math.abs(other.sinceMillis() - sinceMillis) <= SAME_MOMENT_MILLIS;
      if (sameMoment && !entry.getKey().equals(worker) && !other.jobs().contains(job)) {
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
