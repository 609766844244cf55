package org.peridotroute.scheduler.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.conduct.WorkerSpeeds;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;

/**
 * How much longer tasks take on a worker than usual: by worker if the conduct of workers is
 * observed, otherwise by rack.
 */
final class SpeedEstimates {
  private final boolean byWorker;
  private final DurationEstimator durations;
  private final WorkerSpeeds workerSpeeds = new WorkerSpeeds();
  private final RackSpeeds rackSpeeds = new RackSpeeds();

  /**
   * Creates estimates.
   *
   * @param byWorker whether speeds are learned by worker
   * @param durations learns the usual durations too
   */
  SpeedEstimates(boolean byWorker, DurationEstimator durations) {
    this.byWorker = byWorker;
    this.durations = durations;
  }

  /** Adds the duration of a task that has run its whole length. */
  void addRun(
      Submission submission, StepSpec step, WorkerState worker, Attempt attempt, long nowMillis) {
    if (byWorker && !attempt.isStartedHere()) {
      // Nobody here knows when an earlier planner has started it.
      return;
    }
    long tookMillis = nowMillis - attempt.stateSinceMillis();
    long expectedMillis = durations.taskMillis(submission, step);
    durations.addObservation(submission, step, tookMillis);
    if (worker.isListed()) {
      addObservation(worker, step.gang(), expectedMillis, tookMillis);
    }
  }

  private void addObservation(
      WorkerState worker, boolean gang, long expectedMillis, long tookMillis) {
    String rack = worker.info().rack();
    if (!byWorker) {
      rackSpeeds.addObservation(rack, expectedMillis, tookMillis);
    } else if (gang) {
      workerSpeeds.addGangObservation(rack, expectedMillis, tookMillis);
    } else {
      workerSpeeds.addObservation(worker.id(), rack, expectedMillis, tookMillis);
    }
  }

  /** Returns the factor by which tasks take longer on a worker. */
  double slowdown(WorkerState worker) {
    String rack = worker.info().rack();
    return byWorker ? workerSpeeds.slowdown(worker.id(), rack) : rackSpeeds.slowdown(rack);
  }

  /**
   * Returns the racks of the workers on which each step has runs; nothing if speeds are not known
   * by worker.
   */
  Map<StepId, Map<WorkerId, String>> racksByStep(Collection<WorkerState> workers) {
    Map<StepId, Map<WorkerId, String>> racks = new HashMap<>();
    for (WorkerState worker : workers) {
      if (byWorker && worker.hasInfo()) {
        for (Attempt attempt : worker.attempts()) {
          racks
              .computeIfAbsent(attempt.key().task().step(), key -> new HashMap<>())
              .put(worker.id(), worker.info().rack());
        }
      }
    }
    return racks;
  }

  /**
   * Returns the expected duration of a task where it runs. A whole gang is as slow as its slowest
   * worker.
   *
   * @param usualMillis expected duration on a worker of usual speed
   * @param gangRacks racks of all workers of its gang, null if it is in no gang
   */
  long expectedMillis(long usualMillis, WorkerState worker, Map<WorkerId, String> gangRacks) {
    if (!byWorker || !worker.hasInfo()) {
      return usualMillis;
    }
    if (gangRacks == null) {
      return workerSpeeds.expectedMillis(usualMillis, worker.id(), worker.info().rack());
    }
    return Math.max(1, Math.round((double) usualMillis * workerSpeeds.gangSlowdown(gangRacks)));
  }
}
