package org.peridotroute.scheduler.plan;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;

/**
 * Runs that would be stopped together, with what the stops cost and free. All members of a gang end
 * with any of them. What its caller loses is counted once for each job, so further victims of a job
 * that is harmed already are cheap. Mutable.
 */
final class VictimSet {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /** Fixed cost of a stop, in core-seconds, in addition to unsaved work; favours fewer stops. */
  private static final double STOP_COST_CORE_SECONDS = 5;

  private final RunIndex runs;
  private final Set<PlanView.RunningTask> ending = RunIndex.newRunSet();
  private final Map<JobId, Double> lostValueByJob = new HashMap<>();
  private final Map<WorkerId, Capacity> freedByWorker = new HashMap<>();
  private double cost;

  VictimSet(RunIndex runs) {
    this.runs = runs;
  }

  /** Returns a set of the given victims. */
  static VictimSet of(RunIndex runs, Collection<PlanView.RunningTask> victims) {
    VictimSet set = new VictimSet(runs);
    victims.forEach(set::add);
    return set;
  }

  /** Returns the cost of all stops in core-seconds. */
  double cost() {
    return cost;
  }

  boolean contains(PlanView.RunningTask run) {
    return ending.contains(run);
  }

  /** Returns whether a run of the job is among those that end. */
  boolean harms(JobId job) {
    return lostValueByJob.containsKey(job);
  }

  /** Returns the workers on which the stops free capacity. */
  Set<WorkerId> workers() {
    return freedByWorker.keySet();
  }

  /** Returns the capacity that the stops free on a worker. */
  Capacity freedOn(WorkerId worker) {
    return freedByWorker.getOrDefault(worker, Capacity.NONE);
  }

  /** Adds a victim and all runs that end with it. */
  void add(PlanView.RunningTask victim) {
    for (PlanView.RunningTask run : runs.endingWith(victim)) {
      if (ending.add(run)) {
        double harmedBefore = lostValueByJob.getOrDefault(run.task().job(), 0.0);
        double harmed = Math.max(harmedBefore, lostValue(run));
        lostValueByJob.put(run.task().job(), harmed);
        cost += stopCost(run) + harmed - harmedBefore;
        freedByWorker.merge(run.worker(), run.held(), Capacity::plus);
      }
    }
  }

  /** Returns by how much the cost would rise with one more victim. */
  double additionalCost(PlanView.RunningTask victim) {
    double added = 0;
    double lost = lostValueByJob.getOrDefault(victim.task().job(), 0.0);
    for (PlanView.RunningTask run : runs.endingWith(victim)) {
      if (!ending.contains(run)) {
        double harmed = Math.max(lost, lostValue(run));
        added += stopCost(run) + harmed - lost;
        lost = harmed;
      }
    }
    return added;
  }

  /** Returns by how much the cost would rise with further victims. */
  double additionalCost(Collection<PlanView.RunningTask> victims) {
    double added = 0;
    Set<PlanView.RunningTask> counted = RunIndex.newRunSet();
    Map<JobId, Double> lostValues = new HashMap<>();
    for (PlanView.RunningTask victim : victims) {
      for (PlanView.RunningTask run : runs.endingWith(victim)) {
        if (!ending.contains(run) && counted.add(run)) {
          added += stopCost(run);
          lostValues.merge(run.task().job(), lostValue(run), Math::max);
        }
      }
    }
    for (Map.Entry<JobId, Double> lost : lostValues.entrySet()) {
      added += Math.max(0, lost.getValue() - lostValueByJob.getOrDefault(lost.getKey(), 0.0));
    }
    return added;
  }

  /** Returns the cost of a stop without what the caller loses; it rises with each earlier stop. */
  static double stopCost(PlanView.RunningTask run) {
    double unsaved = run.held().pricedCores() * run.unsavedMillis() / MILLIS_PER_SECOND;
    return (STOP_COST_CORE_SECONDS + unsaved) * (1 + run.stops());
  }

  /** Returns the value that the caller of the job loses if the run is stopped, in core-seconds. */
  static double lostValue(PlanView.RunningTask run) {
    return Math.max(
        0,
        CompletionValue.coreSeconds(run.priority(), run.usefulness())
            - CompletionValue.coreSeconds(run.priority(), run.usefulnessIfStopped()));
  }
}
