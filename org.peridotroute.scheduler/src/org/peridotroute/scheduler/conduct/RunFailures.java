package org.peridotroute.scheduler.conduct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;

/**
 * Tells failures that a worker causes from those that its jobs cause, by how the same task, job and
 * queue fare on other workers in the same half minute. Confined to one thread.
 */
final class RunFailures {
  private static final long WINDOW_MILLIS = 30_000;

  /** Share of runs that fail on a bad worker. */
  private static final double BAD_WORKER_SHARE = 0.5;

  /** Share of runs that fail on sound workers before anything is known of a queue. */
  private static final double PRIOR_SHARE = 0.02;

  /** Runs that the prior share counts as. */
  private static final double PRIOR_QUEUE_RUNS = 20;

  /** Runs that the share of the queue counts as while little is known of a job. */
  private static final double PRIOR_JOB_RUNS = 4;

  /** Share of runs that fail for a task that has just failed on another worker. */
  private static final double REPEATED_SHARE = 0.9;

  /** Runs of a job that must have completed elsewhere before its failures count one by one. */
  private static final int MIN_CLEARING_RUNS = 3;

  /** Jobs of which runs must have failed on a worker before it says little of a job. */
  private static final int MIN_QUESTIONABLE_JOBS = 2;

  /** Share of failed runs from which a job is bad itself; a bad worker fails about half. */
  private static final double BAD_JOB_SHARE = 0.7;

  private record Run(
      WorkerId worker, String queue, String job, String task, boolean failed, long atMillis) {}

  /** Number of runs and failures, in total and by worker. */
  private static final class Counts {
    private int runs;
    private int failures;
    private final Map<WorkerId, int[]> byWorker = new HashMap<>();

    void add(Run run, int sign) {
      int[] own = byWorker.computeIfAbsent(run.worker(), key -> new int[2]);
      own[0] += sign;
      runs += sign;
      if (run.failed()) {
        own[1] += sign;
        failures += sign;
      }
      if (own[0] == 0) {
        byWorker.remove(run.worker());
      }
    }

    /** Returns whether most runs fail wherever they are. */
    boolean isBad() {
      return failures >= BAD_JOB_SHARE * runs;
    }

    /** Returns runs and failures on other workers than the given ones. */
    int[] elsewhere(WorkerId worker, Set<WorkerId> ignored) {
      int[] sum = {runs, failures};
      subtract(sum, worker);
      for (WorkerId other : ignored) {
        if (!other.equals(worker)) {
          subtract(sum, other);
        }
      }
      return sum;
    }

    private void subtract(int[] sum, WorkerId worker) {
      int[] own = byWorker.get(worker);
      if (own != null) {
        sum[0] -= own[0];
        sum[1] -= own[1];
      }
    }
  }

  private final Deque<Run> window = new ArrayDeque<>();
  private final Map<String, Counts> queues = new HashMap<>();
  private final Map<String, Counts> jobs = new HashMap<>();
  private final Map<String, Counts> tasks = new HashMap<>();
  private final Map<WorkerId, Deque<Run>> runsByWorker = new HashMap<>();
  private final Set<WorkerId> questionable = new HashSet<>();

  /** Adds a run that has completed or failed. */
  void add(WorkerId worker, String queue, String job, String task, boolean failed, long nowMillis) {
    Run run = new Run(worker, queue, job, task, failed, nowMillis);
    window.add(run);
    count(run, 1);
    runsByWorker.computeIfAbsent(worker, key -> new ArrayDeque<>()).add(run);
    while (nowMillis - window.peek().atMillis() > WINDOW_MILLIS) {
      Run old = window.remove();
      count(old, -1);
      Deque<Run> own = runsByWorker.get(old.worker());
      if (own != null && old.equals(own.peek())) {
        own.remove();
      }
    }
  }

  private void count(Run run, int sign) {
    count(queues, run.queue(), run, sign);
    count(jobs, run.job(), run, sign);
    count(tasks, run.task(), run, sign);
  }

  private static void count(Map<String, Counts> map, String key, Run run, int sign) {
    Counts counts = map.computeIfAbsent(key, missing -> new Counts());
    counts.add(run, sign);
    if (counts.runs == 0) {
      map.remove(key);
    }
  }

  /** Holds the runs so far no longer against the worker. */
  void forget(WorkerId worker) {
    runsByWorker.remove(worker);
  }

  /**
   * Determines on which workers runs of several jobs have failed that are not bad themselves. What
   * fails there says little of the job, so it does not clear other workers, such as those of the
   * same bad rack.
   */
  void beginReview() {
    questionable.clear();
    runsByWorker.forEach(
        (worker, runs) -> {
          long failedJobs =
              runs.stream()
                  .filter(Run::failed)
                  .map(Run::job)
                  .distinct()
                  .filter(job -> !jobs.get(job).isBad())
                  .count();
          if (failedJobs >= MIN_QUESTIONABLE_JOBS) {
            questionable.add(worker);
          }
        });
  }

  /**
   * Returns the weight of the worker's own failures, as of all that is known now. It is determined
   * anew each time, because a later failure elsewhere may clear the worker.
   */
  double weight(WorkerId worker, long nowMillis) {
    Deque<Run> own = runsByWorker.get(worker);
    if (own == null || own.stream().noneMatch(Run::failed)) {
      return 0;
    }
    double weight = 0;
    Set<String> accusingJobs = new HashSet<>();
    for (Run run : own) {
      if (nowMillis - run.atMillis() > WINDOW_MILLIS) {
        continue;
      }
      int[] elsewhere = jobs.get(run.job()).elsewhere(worker, Set.of());
      boolean cleared = elsewhere[0] - elsewhere[1] >= MIN_CLEARING_RUNS;
      // Failures of one job that has run nowhere else may all be the fault of the job.
      if (!run.failed() || cleared || accusingJobs.add(run.job())) {
        weight = Math.max(0, weight + logRatio(run));
      }
    }
    return weight;
  }

  private double logRatio(Run run) {
    double expected = expectedShare(run);
    double bad = Math.max(BAD_WORKER_SHARE, expected);
    return run.failed() ? Math.log(bad / expected) : Math.log((1 - bad) / (1 - expected));
  }

  private double expectedShare(Run run) {
    if (tasks.get(run.task()).elsewhere(run.worker(), questionable)[1] > 0) {
      return REPEATED_SHARE;
    }
    int[] queue = queues.get(run.queue()).elsewhere(run.worker(), questionable);
    int[] job = jobs.get(run.job()).elsewhere(run.worker(), questionable);
    double ofQueue = (queue[1] + PRIOR_SHARE * PRIOR_QUEUE_RUNS) / (queue[0] + PRIOR_QUEUE_RUNS);
    double ofJob = (job[1] + ofQueue * PRIOR_JOB_RUNS) / (job[0] + PRIOR_JOB_RUNS);
    return Math.min(REPEATED_SHARE, Math.max(PRIOR_SHARE / 2, ofJob));
  }
}
