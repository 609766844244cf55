package org.peridotroute.scheduler.conduct;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;
import org.peridotroute.lib.WorkerId;

/**
 * Compares how fast runs progress with runs of the same queue on other workers at the same time.
 * Confined to one thread.
 */
final class RunProgress {
  /** Share of the peers' speed below which a run is slow; racks differ by less than half of it. */
  private static final double SLOW_SHARE = 0.4;

  /** Other workers with runs of the queue without which a speed cannot be judged. */
  private static final int MIN_PEERS = 4;

  /** Other workers with runs of the job that show how long its tasks are. */
  private static final int MIN_JOB_PEERS = 2;

  /** Age up to which a measured speed counts as simultaneous; polls are up to 1.5 s apart. */
  private static final long MAX_AGE_MILLIS = 2_000;

  /**
   * Time from a measurement to its judgement. Until then the peers are measured too, so that the
   * first workers that a common cause slows down are not compared with the time before it.
   */
  private static final long JUDGEMENT_DELAY_MILLIS = 1_000;

  private static final long NOTHING_PENDING = Long.MIN_VALUE;

  /** Progress that counts for a run without visible progress. */
  private static final double MIN_PROGRESS_PERCENT = 0.5;

  /**
   * Speed of the peers, as a share of the expected one, below which nobody is judged: they report
   * no progress, or a common cause holds them up.
   */
  private static final double MIN_PEER_SPEED = 0.1;

  private static final double COMPLETE_PERCENT = 100;

  /** Shortest time over which a speed is measured; polls are up to 1.5 s apart. */
  private static final long MIN_SPAN_MILLIS = 1_000;

  /** Smallest share of its expected duration over which the speed of a run is measured. */
  private static final double MIN_SPAN_SHARE = 0.1;

  /** Share of the runs on a bad worker that are slow. */
  private static final double BAD_WORKER_SHARE = 0.8;

  /** Share of slow runs on sound workers: 3 in 100 tasks take several times as long anywhere. */
  private static final double TAIL_SHARE = 0.05;

  private static final double SLOW_WEIGHT = Math.log(BAD_WORKER_SHARE / TAIL_SHARE);
  private static final double NORMAL_WEIGHT = Math.log((1 - BAD_WORKER_SHARE) / (1 - TAIL_SHARE));

  private static final class Mark {
    private final String queue;
    private final String job;
    private final WorkerId worker;
    private int percent;
    private long seenMillis;
    private long expectedMillis;

    /** Logarithm of the completed share of the run per millisecond. */
    private double logRate;

    private double pendingLogRate;
    private long pendingSinceMillis = NOTHING_PENDING;
    private long measuredMillis = Long.MIN_VALUE;
    private Verdict verdict = Verdict.NONE;

    Mark(ProgressSample sample) {
      queue = sample.queue();
      job = sample.job();
      worker = sample.worker();
      percent = sample.percent();
      seenMillis = sample.seenMillis();
    }

    /** Measures the speed since the last measurement, if enough time has passed. */
    void measure(ProgressSample sample) {
      expectedMillis = sample.expectedMillis();
      long span = sample.seenMillis() - seenMillis;
      if (span < MIN_SPAN_MILLIS || span < MIN_SPAN_SHARE * sample.expectedMillis()) {
        return;
      }
      double progress = Math.max(MIN_PROGRESS_PERCENT, sample.percent() - percent);
      logRate = Math.log(progress / (COMPLETE_PERCENT * span));
      percent = sample.percent();
      seenMillis = sample.seenMillis();
      measuredMillis = sample.seenMillis();
      if (pendingSinceMillis == NOTHING_PENDING) {
        pendingLogRate = logRate;
        pendingSinceMillis = measuredMillis;
      }
    }

    /**
     * Returns the logarithm of a speed relative to the expected one. The expectation is that of now
     * for all runs, because it changes fast while a planner knows little.
     */
    double logSpeed(double rate) {
      return rate + Math.log((double) expectedMillis);
    }

    boolean isDue(long nowMillis) {
      return pendingSinceMillis != NOTHING_PENDING
          && nowMillis - pendingSinceMillis >= JUDGEMENT_DELAY_MILLIS;
    }

    boolean isRecent(long nowMillis) {
      return measuredMillis >= nowMillis - MAX_AGE_MILLIS;
    }
  }

  private enum Verdict {
    NONE,
    NORMAL,
    SLOW
  }

  private final Map<Object, Mark> marks = new HashMap<>();

  /**
   * Returns the evidence for or against workers.
   *
   * @param samples the progress of all runs that are under way
   * @return weights by worker
   */
  Map<WorkerId, Double> weigh(List<ProgressSample> samples, long nowMillis) {
    Set<Object> present = new HashSet<>();
    for (ProgressSample sample : samples) {
      present.add(sample.run());
      Mark mark = marks.computeIfAbsent(sample.run(), key -> new Mark(sample));
      mark.measure(sample);
    }
    marks.keySet().retainAll(present);
    Map<WorkerId, Double> weights = new HashMap<>();
    List<Mark> due = marks.values().stream().filter(mark -> mark.isDue(nowMillis)).toList();
    if (due.isEmpty()) {
      return weights;
    }
    Map<String, PeerSpeeds> byQueue = peerSpeeds(mark -> mark.queue, nowMillis);
    Map<String, PeerSpeeds> byJob = peerSpeeds(mark -> mark.job, nowMillis);
    for (Mark mark : due) {
      mark.pendingSinceMillis = NOTHING_PENDING;
      OptionalDouble ofQueue =
          byQueue.getOrDefault(mark.queue, PeerSpeeds.NONE).medianWithout(mark.worker, MIN_PEERS);
      OptionalDouble ofJob =
          byJob.getOrDefault(mark.job, PeerSpeeds.NONE).medianWithout(mark.worker, MIN_JOB_PEERS);
      if (ofQueue.isPresent()) {
        judge(mark, ofQueue.getAsDouble(), ofJob)
            .ifPresent(weight -> weights.merge(mark.worker, weight, Double::sum));
      }
    }
    return weights;
  }

  private Map<String, PeerSpeeds> peerSpeeds(Function<Mark, String> group, long nowMillis) {
    Map<String, Map<WorkerId, List<Double>>> speeds = new HashMap<>();
    for (Mark mark : marks.values()) {
      if (mark.isRecent(nowMillis)) {
        speeds
            .computeIfAbsent(group.apply(mark), key -> new HashMap<>())
            .computeIfAbsent(mark.worker, key -> new ArrayList<>())
            .add(mark.logSpeed(mark.logRate));
      }
    }
    Map<String, PeerSpeeds> peers = new HashMap<>();
    speeds.forEach((name, byWorker) -> peers.put(name, PeerSpeeds.of(byWorker)));
    return peers;
  }

  private OptionalDouble judge(Mark mark, double peerLogSpeed, OptionalDouble jobLogSpeed) {
    double slowest = Math.min(peerLogSpeed, jobLogSpeed.orElse(peerLogSpeed));
    // A run that has been measured again since and is no longer slow accuses nobody.
    double rate = Math.max(mark.pendingLogRate, mark.logRate);
    boolean slow = mark.logSpeed(rate) < slowest + Math.log(SLOW_SHARE);
    if (peerLogSpeed < Math.log(MIN_PEER_SPEED)) {
      return OptionalDouble.empty();
    }
    if (slow && mark.verdict != Verdict.SLOW) {
      // Without peers of the same job, its tasks may simply be long, which counts once.
      boolean counted = jobLogSpeed.isEmpty() && hasSlowSibling(mark);
      mark.verdict = Verdict.SLOW;
      return counted ? OptionalDouble.empty() : OptionalDouble.of(SLOW_WEIGHT);
    }
    if (!slow && mark.verdict == Verdict.NONE) {
      // Each run speaks for its worker once, or a long run would excuse all others.
      mark.verdict = Verdict.NORMAL;
      return OptionalDouble.of(NORMAL_WEIGHT);
    }
    return OptionalDouble.empty();
  }

  private boolean hasSlowSibling(Mark mark) {
    return marks.values().stream()
        .anyMatch(
            other ->
                other.verdict == Verdict.SLOW
                    && other.worker.equals(mark.worker)
                    && other.job.equals(mark.job));
  }

  /** Median speeds of the workers that run one queue or job. */
  private record PeerSpeeds(Map<WorkerId, Double> byWorker, List<Double> sorted) {
    static final PeerSpeeds NONE = new PeerSpeeds(Map.of(), List.of());

    static PeerSpeeds of(Map<WorkerId, List<Double>> speeds) {
      Map<WorkerId, Double> medians = new HashMap<>();
      speeds.forEach(
          (worker, values) -> {
            values.sort(null);
            medians.put(worker, values.get(values.size() / 2));
          });
      return new PeerSpeeds(medians, medians.values().stream().sorted().toList());
    }

    /** Returns the median over the other workers, or empty if they are too few. */
    OptionalDouble medianWithout(WorkerId worker, int minPeers) {
      Double ownSpeed = byWorker.get(worker);
      if (sorted.size() - 1 < minPeers) {
        return OptionalDouble.empty();
      }
      int own = ownSpeed == null ? sorted.size() : Collections.binarySearch(sorted, ownSpeed);
      int middle = (sorted.size() - 1) / 2;
      return OptionalDouble.of(sorted.get(middle < own ? middle : middle + 1));
    }
  }
}
