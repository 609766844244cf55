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

  /** Share of failed runs on a worker from which it says little of a job. */
  private static final double QUESTIONABLE_SHARE = 0.2;

  private record Run(
      WorkerId worker, Counts queue, Counts job, Counts task, boolean failed, long atMillis) {}

  /** Number of runs and failures, in total and by worker. */
  private static final class Counts {
    private final String name;
    private int runs;
    private int failures;
    private final Map<WorkerId, int[]> byWorker = new HashMap<>();

    /** Runs and failures on questionable workers as of a review. */
    private int ignoredRuns;

    private int ignoredFailures;
    private int reviewNumber;

    Counts(String name) {
      this.name = name;
    }

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

    /** Returns the number of runs that completed on other workers. */
    int completedElsewhere(WorkerId worker) {
      int[] own = byWorker.getOrDefault(worker, NO_RUNS);
      return runs - failures - (own[0] - own[1]);
    }

    /** Adds up, once in each review, what is on questionable workers. */
    void refresh(Set<WorkerId> questionable, int review) {
      if (reviewNumber == review) {
        return;
      }
      reviewNumber = review;
      ignoredRuns = 0;
      ignoredFailures = 0;
      if (!questionable.isEmpty()) {
        byWorker.forEach(
            (worker, own) -> {
              if (questionable.contains(worker)) {
                ignoredRuns += own[0];
                ignoredFailures += own[1];
              }
            });
      }
    }
  }

  /** Recent runs of one worker. */
  private static final class Own {
    private final Deque<Run> runs = new ArrayDeque<>();
    private int failures;
  }

  private static final int[] NO_RUNS = new int[2];

  private final Deque<Run> window = new ArrayDeque<>();
  private final Map<String, Counts> queues = new HashMap<>();
  private final Map<String, Counts> jobs = new HashMap<>();
  private final Map<String, Counts> tasks = new HashMap<>();
  private final Map<WorkerId, Own> runsByWorker = new HashMap<>();
  private final Set<WorkerId> questionable = new HashSet<>();
  private int reviewNumber;

  /** Adds a run that has completed or failed. */
  void add(WorkerId worker, String queue, String job, String task, boolean failed, long nowMillis) {
    Run run =
        new Run(
            worker,
            queues.computeIfAbsent(queue, Counts::new),
            jobs.computeIfAbsent(job, Counts::new),
            tasks.computeIfAbsent(task, Counts::new),
            failed,
            nowMillis);
    window.add(run);
    count(run, 1);
    Own own = runsByWorker.computeIfAbsent(worker, key -> new Own());
    own.runs.add(run);
    own.failures += failed ? 1 : 0;
    while (nowMillis - window.peek().atMillis() > WINDOW_MILLIS) {
      removeOldest();
    }
  }

  private void removeOldest() {
    Run old = window.remove();
    count(old, -1);
    removeIfUnused(queues, old.queue());
    removeIfUnused(jobs, old.job());
    removeIfUnused(tasks, old.task());
    Own own = runsByWorker.get(old.worker());
    if (own != null && old.equals(own.runs.peek())) {
      own.runs.remove();
      own.failures -= old.failed() ? 1 : 0;
      if (own.runs.isEmpty()) {
        runsByWorker.remove(old.worker());
      }
    }
  }

  private static void count(Run run, int sign) {
    run.queue().add(run, sign);
    run.job().add(run, sign);
    run.task().add(run, sign);
  }

  private static void removeIfUnused(Map<String, Counts> map, Counts counts) {
    if (counts.runs == 0) {
      map.remove(counts.name);
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
    reviewNumber++;
    questionable.clear();
    runsByWorker.forEach(
        (worker, own) -> {
          boolean failsOften = own.failures >= QUESTIONABLE_SHARE * own.runs.size();
          if (own.failures >= MIN_QUESTIONABLE_JOBS && failsOften) {
            long failedJobs =
                own.runs.stream()
                    .filter(run -> run.failed() && !run.job().isBad())
                    .map(Run::job)
                    .distinct()
                    .count();
            if (failedJobs >= MIN_QUESTIONABLE_JOBS) {
              questionable.add(worker);
            }
          }
        });
  }

  /**
   * Returns the weight of the worker's own failures, as of all that is known now. It is determined
   * anew each time, because a later failure elsewhere may clear the worker.
   */
  double weight(WorkerId worker, long nowMillis) {
    Own own = runsByWorker.get(worker);
    if (own == null || own.failures == 0) {
      return 0;
    }
    double weight = 0;
    Set<Counts> accusingJobs = new HashSet<>();
    for (Run run : own.runs) {
      if (nowMillis - run.atMillis() > WINDOW_MILLIS) {
        continue;
      }
      boolean cleared = run.job().completedElsewhere(worker) >= MIN_CLEARING_RUNS;
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
    if (elsewhere(run.task(), run.worker()).failures() > 0) {
      return REPEATED_SHARE;
    }
    double ofQueue = elsewhere(run.queue(), run.worker()).share(PRIOR_SHARE, PRIOR_QUEUE_RUNS);
    double ofJob = elsewhere(run.job(), run.worker()).share(ofQueue, PRIOR_JOB_RUNS);
    return Math.min(REPEATED_SHARE, Math.max(PRIOR_SHARE / 2, ofJob));
  }

  /** Returns what is known from other workers, except for questionable ones. */
  private Elsewhere elsewhere(Counts counts, WorkerId worker) {
    counts.refresh(questionable, reviewNumber);
    int[] own =
        questionable.contains(worker) ? NO_RUNS : counts.byWorker.getOrDefault(worker, NO_RUNS);
    return new Elsewhere(
        counts.runs - counts.ignoredRuns - own[0],
        counts.failures - counts.ignoredFailures - own[1]);
  }

  private record Elsewhere(int runs, int failures) {
    double share(double prior, double priorRuns) {
      return (failures + prior * priorRuns) / (runs + priorRuns);
    }
  }
}
