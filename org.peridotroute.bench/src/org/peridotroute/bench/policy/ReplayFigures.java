package org.peridotroute.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.fold.JobState;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.JobClass;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.Shape;
import org.peridotroute.policy.FreeAccelerators;
import org.peridotroute.policy.Guarantees;

/** Collects the figures of one replay. Used by one thread. */
final class ReplayFigures {
  private static final int HALF_RACK = 32;
  private static final int OBSERVE_EVERY = 10;
  private static final long RECLAIM_BOUND_MILLIS = 30_000;

  private final Map<JobKey, Long> firstStartMillis = new HashMap<>();
  private final List<FinishedJob> finishedJobs = new ArrayList<>();
  private final int totalAccelerators;
  private final long arrivalsEndMillis;
  private double lostAcceleratorMillis;
  private double usedAcceleratorMillis;
  private double fragmentationMillis;
  private double observedMillis;
  private long lastMillis;
  private int lastUsed;
  private double lastFragmentation;
  private int preemptions;
  private int guaranteeViolations;
  private int observations;
  private long decideNanos;
  private long decideMaxNanos;
  private int passes;
  private final Map<JobKey, Long> entitledSinceMillis = new HashMap<>();

  /** A job that has ended, with its times since submission. */
  private record FinishedJob(TraceJob job, long waitMillis, long completionMillis) {}

  ReplayFigures(Workload workload) {
    totalAccelerators = workload.workers().stream().mapToInt(worker -> worker.accelerators()).sum();
    List<TraceJob> jobs = workload.jobs();
    arrivalsEndMillis = jobs.isEmpty() ? 0 : jobs.get(jobs.size() - 1).submitMillis();
  }

  /** Runs a pass of the policy and records its duration. */
  <T> T measurePass(Supplier<T> pass) {
    long startNanos = System.nanoTime();
    T result = pass.get();
    long nanos = System.nanoTime() - startNanos;
    decideNanos += nanos;
    decideMaxNanos = Math.max(decideMaxNanos, nanos);
    passes++;
    return result;
  }

  void onStarted(TraceJob job, long nowMillis) {
    firstStartMillis.putIfAbsent(job.key(), nowMillis);
  }

  void onPreempted(TraceJob job, long ranMillis) {
    preemptions++;
    if (!job.checkpointable()) {
      lostAcceleratorMillis += (double) ranMillis * job.accelerators();
    }
  }

  void onEnded(TraceJob job, long nowMillis) {
    long waitMillis = firstStartMillis.get(job.key()) - job.submitMillis();
    finishedJobs.add(new FinishedJob(job, waitMillis, nowMillis - job.submitMillis()));
  }

  /** Samples the state after a pass, as long as jobs still arrive. */
  void observe(long nowMillis, JobState jobs, ConfigState config, Directory directory) {
    if (nowMillis > arrivalsEndMillis) {
      return;
    }
    double sinceMillis = nowMillis - lastMillis;
    usedAcceleratorMillis += sinceMillis * lastUsed;
    fragmentationMillis += sinceMillis * lastFragmentation;
    observedMillis += sinceMillis;
    lastMillis = nowMillis;
    lastUsed = jobs.holders().size();
    checkGuarantees(nowMillis, jobs, config);
    if (observations++ % OBSERVE_EVERY == 0) {
      lastFragmentation = fragmentation(jobs, config, directory);
    }
  }

  void finish(long nowMillis, JobState jobs) {
    if (jobs.openJobs() > 0) {
      throw new IllegalStateException(jobs.openJobs() + " jobs have not ended at " + nowMillis);
    }
  }

  /**
   * Counts jobs that are queued for longer than the bound while a guarantee of their owner is
   * unused.
   */
  private void checkGuarantees(long nowMillis, JobState jobs, ConfigState config) {
    Guarantees unused = Guarantees.unused(config, jobs);
    Set<JobKey> entitled = new HashSet<>();
    for (Job job : jobs.jobs().values()) {
      if (job.phase() != JobPhase.QUEUED) {
        continue;
      }
      Optional<Guarantees.OwnedShape> owned =
          unused.findUnused(job.key().organisation(), job.spec().shape());
      if (owned.isPresent()) {
        unused.markUsed(owned.get(), List.of());
        entitled.add(job.key());
      }
    }
    entitledSinceMillis.keySet().retainAll(entitled);
    for (JobKey key : entitled) {
      long since = entitledSinceMillis.computeIfAbsent(key, job -> nowMillis);
      if (nowMillis - since > RECLAIM_BOUND_MILLIS) {
        guaranteeViolations++;
        entitledSinceMillis.put(key, Long.MAX_VALUE / 2);
      }
    }
  }

  /**
   * Returns the share of free accelerators that cannot serve the guaranteed and queued shapes: for
   * each distinct shape, the share that stays free when the free accelerators are filled with that
   * shape alone, weighted by the shape's number of accelerators.
   */
  private static double fragmentation(JobState jobs, ConfigState config, Directory directory) {
    FreeAccelerators free = FreeAccelerators.allOf(directory.workers());
    jobs.allocations().values().forEach(held -> free.markHeld(held.acceleratorIds()));
    int freeCount = free.freeCount();
    if (freeCount == 0) {
      return 0;
    }
    double weighted = 0;
    double weights = 0;
    for (Shape shape : shapes(jobs, config)) {
      FreeAccelerators left = free.copy();
      Optional<List<Member>> members = left.findBestFit(shape);
      while (members.isPresent()) {
        left.markMembersHeld(members.get());
        members = left.findBestFit(shape);
      }
      weighted += shape.accelerators() * (double) left.freeCount() / freeCount;
      weights += shape.accelerators();
    }
    return weights == 0 ? 0 : weighted / weights;
  }

  private static Set<Shape> shapes(JobState jobs, ConfigState config) {
    Set<Shape> shapes = new HashSet<>();
    config.organisations().values().stream()
        .flatMap(declared -> declared.organisation().guarantees().stream())
        .forEach(guaranteed -> shapes.add(guaranteed.shape()));
    jobs.jobs().values().stream()
        .filter(job -> job.phase() == JobPhase.QUEUED)
        .forEach(job -> shapes.add(job.spec().shape()));
    return shapes;
  }

  /** Returns the figures by name, in the order in which they are printed. */
  Map<String, Double> values() {
    Map<String, Double> values = new LinkedHashMap<>();
    put(values, "completion.all", finished -> true, FinishedJob::completionMillis);
    put(values, "completion.interactive", is(JobClass.INTERACTIVE), FinishedJob::completionMillis);
    put(values, "completion.urgent", is(JobClass.URGENT), FinishedJob::completionMillis);
    put(values, "completion.batch", is(JobClass.BATCH), FinishedJob::completionMillis);
    put(values, "completion.half_rack", ReplayFigures::isLarge, FinishedJob::completionMillis);
    put(values, "wait.interactive", is(JobClass.INTERACTIVE), FinishedJob::waitMillis);
    put(values, "wait.urgent", is(JobClass.URGENT), FinishedJob::waitMillis);
    values.put("wait.longest_s", seconds(max(FinishedJob::waitMillis)));
    values.put("lower_bound.completion_mean_s", seconds(lowerBoundMillis()));
    values.put("slowdown.mean", slowdown());
    values.put("fragmentation.mean", fragmentationMillis / Math.max(1, observedMillis));
    values.put("use.mean", usedAcceleratorMillis / Math.max(1, observedMillis) / totalAccelerators);
    values.put("preemptions", (double) preemptions);
    values.put("lost_accelerator_hours", lostAcceleratorMillis / 3_600_000);
    values.put("guarantee_violations", (double) guaranteeViolations);
    values.put("pass.mean_ms", decideNanos / 1e6 / Math.max(1, passes));
    values.put("pass.max_ms", decideMaxNanos / 1e6);
    return values;
  }

  /** Extracts a duration in milliseconds from a job that has ended. */
  private interface JobTime {
    long millisOf(FinishedJob job);
  }

  private static Predicate<FinishedJob> is(JobClass jobClass) {
    return finished -> finished.job().jobClass() == jobClass;
  }

  private static boolean isLarge(FinishedJob finished) {
    return finished.job().accelerators() >= HALF_RACK;
  }

  private void put(
      Map<String, Double> values, String name, Predicate<FinishedJob> which, JobTime time) {
    long[] sorted =
        finishedJobs.stream().filter(which).mapToLong(time::millisOf).sorted().toArray();
    if (sorted.length == 0) {
      return;
    }
    double sum = 0;
    for (long value : sorted) {
      sum += value;
    }
    values.put(name + ".mean_s", seconds(sum / sorted.length));
    values.put(name + ".p50_s", seconds(sorted[sorted.length / 2]));
    values.put(name + ".p99_s", seconds(sorted[(int) ((sorted.length - 1) * 0.99)]));
  }

  private long max(JobTime time) {
    return finishedJobs.stream().mapToLong(time::millisOf).max().orElse(0);
  }

  /**
   * Returns the mean completion time if every job started on submission, which no schedule beats.
   */
  private double lowerBoundMillis() {
    return finishedJobs.stream()
        .mapToLong(finished -> finished.job().trueRunMillis())
        .average()
        .orElse(0);
  }

  private double slowdown() {
    return finishedJobs.stream()
        .mapToDouble(
            finished -> (double) finished.completionMillis() / finished.job().trueRunMillis())
        .average()
        .orElse(0);
  }

  private static double seconds(Number millis) {
    return millis.doubleValue() / 1_000;
  }
}
