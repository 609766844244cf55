package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import org.peridotroute.scheduler.model.Capacity;

/**
 * Selects the running tasks whose preemption frees enough capacity at the lowest cost. Preempting
 * one member of a gang costs the work of all members, since all of them end. Used for one pass
 * only.
 */
final class VictimSelector {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /**
   * Fixed cost of stopping a task, in core-seconds, in addition to its unsaved work; favours fewer
   * stops.
   */
  private static final double STOP_COST_CORE_SECONDS = 5;

  private final RunIndex runs;

  VictimSelector(RunIndex runs) {
    this.runs = runs;
  }

  /**
   * A set of victims.
   *
   * @param victims the runs to stop; gang members that end with another victim need not be listed
   * @param cost lost work in core-seconds
   */
  record Selection(List<PlanView.RunningTask> victims, double cost) {}

  /** A way to fit one more task on a worker, with its cost in core-seconds. */
  private record Candidate(
      CapacityLedger.Entry entry, List<PlanView.RunningTask> victims, double cost) {}

  /**
   * Selects the cheapest victims in a group of workers that free enough capacity.
   *
   * @param eligible the runs that may be stopped
   * @return the victims, or null if preemption cannot free enough
   */
  Selection selectCheapest(
      PlanView.PendingStep pending,
      List<CapacityLedger.Entry> group,
      int members,
      Predicate<PlanView.RunningTask> eligible) {
    int fitting =
        group.stream().mapToInt(entry -> entry.countFittingAfterStops(pending, members)).sum();
    PriorityQueue<Candidate> candidates =
        new PriorityQueue<>(
            Comparator.comparingDouble(Candidate::cost)
                .thenComparing(candidate -> candidate.entry().worker().id()));
    Map<CapacityLedger.Entry, Set<PlanView.RunningTask>> stoppedByEntry = new HashMap<>();
    group.forEach(entry -> addCandidate(candidates, pending, entry, Set.of(), eligible));
    Set<PlanView.RunningTask> victims = new LinkedHashSet<>();
    double cost = 0;
    while (fitting < members) {
      Candidate candidate = candidates.poll();
      if (candidate == null) {
        return null;
      }
      cost += candidate.cost();
      victims.addAll(candidate.victims());
      Set<PlanView.RunningTask> stopped =
          stoppedByEntry.computeIfAbsent(candidate.entry(), key -> new HashSet<>());
      int fittingBefore = countFitting(pending, candidate.entry(), stopped, members);
      stopped.addAll(candidate.victims());
      fitting += countFitting(pending, candidate.entry(), stopped, members) - fittingBefore;
      addCandidate(candidates, pending, candidate.entry(), stopped, eligible);
    }
    return new Selection(List.copyOf(victims), cost);
  }

  private static int countFitting(
      PlanView.PendingStep pending,
      CapacityLedger.Entry entry,
      Set<PlanView.RunningTask> stopped,
      int limit) {
    Capacity capacity = entry.freeAfterStops(pending);
    for (PlanView.RunningTask run : stopped) {
      capacity = capacity.plus(run.held());
    }
    return entry.limitCount(pending, capacity.maxCount(pending.spec().reserved()), limit);
  }

  /**
   * Adds the cheapest way to fit one more task on a worker, given the victims already selected
   * there.
   */
  private void addCandidate(
      PriorityQueue<Candidate> candidates,
      PlanView.PendingStep pending,
      CapacityLedger.Entry entry,
      Set<PlanView.RunningTask> alreadyStopped,
      Predicate<PlanView.RunningTask> eligible) {
    List<PlanView.RunningTask> eligibleRuns = new ArrayList<>();
    for (PlanView.RunningTask run : runs.onWorker(entry.worker().id())) {
      if (eligible.test(run) && !runs.isStopping(run) && !alreadyStopped.contains(run)) {
        eligibleRuns.add(run);
      }
    }
    eligibleRuns.sort(
        Comparator.comparingDouble(run -> preemptionCost(run) / (1 + run.held().pricedCores())));
    int limit = Integer.MAX_VALUE;
    int fittingBefore = countFitting(pending, entry, alreadyStopped, limit);
    Set<PlanView.RunningTask> stopped = new HashSet<>(alreadyStopped);
    List<PlanView.RunningTask> added = new ArrayList<>();
    for (PlanView.RunningTask run : eligibleRuns) {
      stopped.add(run);
      added.add(run);
      if (countFitting(pending, entry, stopped, limit) > fittingBefore) {
        removeUnneeded(pending, entry, stopped, added, fittingBefore);
        candidates.add(
            new Candidate(
                entry, List.copyOf(added), added.stream().mapToDouble(this::preemptionCost).sum()));
        return;
      }
    }
  }

  /** Removes victims that are not needed, the most expensive first. */
  private void removeUnneeded(
      PlanView.PendingStep pending,
      CapacityLedger.Entry entry,
      Set<PlanView.RunningTask> stopped,
      List<PlanView.RunningTask> added,
      int fittingBefore) {
    List<PlanView.RunningTask> byCostDescending = new ArrayList<>(added);
    byCostDescending.sort(Comparator.comparingDouble(this::preemptionCost).reversed());
    for (PlanView.RunningTask run : byCostDescending) {
      stopped.remove(run);
      if (countFitting(pending, entry, stopped, Integer.MAX_VALUE) > fittingBefore) {
        added.remove(run);
      } else {
        stopped.add(run);
      }
    }
  }

  private double preemptionCost(PlanView.RunningTask run) {
    return runs.endingWith(run).stream().mapToDouble(VictimSelector::lostCoreSeconds).sum();
  }

  private static double lostCoreSeconds(PlanView.RunningTask run) {
    return STOP_COST_CORE_SECONDS
        + run.held().pricedCores() * run.unsavedMillis() / MILLIS_PER_SECOND;
  }
}
