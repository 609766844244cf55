package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.StepId;

/**
 * Selects victims by what they cost together. Unlike {@link VictimSelector} it counts the capacity
 * that all members of a stopped gang free, charges a gang and the loss of a caller once, and drops
 * every victim that the others make unnecessary. Used for one pass only.
 */
final class LowestCostSelector {
  private final RunIndex runs;

  LowestCostSelector(RunIndex runs) {
    this.runs = runs;
  }

  /** Victims on one worker, with what they add to the cost and the number of tasks that fit. */
  private record Candidate(List<PlanView.RunningTask> victims, double cost, int tasks) {
    double costPerTask(int missing) {
      return cost / Math.min(tasks, missing);
    }
  }

  /**
   * Selects victims in a group of workers that free enough capacity.
   *
   * @param eligible the runs that may be stopped
   * @param maxCost cost above which no selection is wanted, in core-seconds
   * @return the victims, one for each gang, or null if preemption cannot free enough at this cost
   */
  VictimSelector.Selection select(
      PlanView.PendingStep pending,
      List<CapacityLedger.Entry> group,
      int members,
      Predicate<PlanView.RunningTask> eligible,
      double maxCost) {
    Search search = new Search(pending, group, members, eligible);
    List<PlanView.RunningTask> victims = search.run(maxCost);
    if (victims == null) {
      return null;
    }
    double cost = VictimSet.of(runs, victims).cost();
    return cost <= maxCost ? new VictimSelector.Selection(victims, cost) : null;
  }

  /** Search for victims in one group. */
  private final class Search {
    private final PlanView.PendingStep pending;
    private final Map<WorkerId, CapacityLedger.Entry> entries = new HashMap<>();
    private final List<CapacityLedger.Entry> group;
    private final int members;
    private final Predicate<PlanView.RunningTask> eligible;

    Search(
        PlanView.PendingStep pending,
        List<CapacityLedger.Entry> group,
        int members,
        Predicate<PlanView.RunningTask> eligible) {
      this.pending = pending;
      this.group = group;
      this.members = members;
      this.eligible = eligible;
      group.forEach(entry -> entries.put(entry.worker().id(), entry));
    }

    List<PlanView.RunningTask> run(double maxCost) {
      VictimSet stopped = new VictimSet(runs);
      List<PlanView.RunningTask> victims = new ArrayList<>();
      Map<WorkerId, Candidate> candidates = new HashMap<>();
      group.forEach(entry -> candidates.put(entry.worker().id(), cheapest(entry, stopped)));
      int fitting = countFitting(stopped);
      while (fitting < members) {
        Candidate best = bestOf(candidates, members - fitting);
        if (best == null || stopped.cost() > maxCost) {
          return null;
        }
        for (PlanView.RunningTask victim : best.victims()) {
          if (!stopped.contains(victim)) {
            victims.add(victim);
            stopped.add(victim);
          }
        }
        fitting = countFitting(stopped);
        group.stream()
            .filter(entry -> isAffected(entry, stopped))
            .forEach(entry -> candidates.put(entry.worker().id(), cheapest(entry, stopped)));
      }
      return withoutUnneeded(victims);
    }

    private Candidate bestOf(Map<WorkerId, Candidate> candidates, int missing) {
      Candidate best = null;
      for (CapacityLedger.Entry entry : group) {
        Candidate candidate = candidates.get(entry.worker().id());
        if (candidate != null
            && (best == null || candidate.costPerTask(missing) < best.costPerTask(missing))) {
          best = candidate;
        }
      }
      return best;
    }

    /** Returns whether the stops so far have changed what further stops on a worker cost. */
    private boolean isAffected(CapacityLedger.Entry entry, VictimSet stopped) {
      WorkerId worker = entry.worker().id();
      return stopped.workers().contains(worker)
          || runs.onWorker(worker).stream().anyMatch(run -> stopped.harms(run.task().job()));
    }

    private int countFitting(VictimSet stopped) {
      return group.stream().mapToInt(entry -> countFitting(entry, stopped)).sum();
    }

    private int countFitting(CapacityLedger.Entry entry, VictimSet stopped) {
      return countFitting(entry, stopped.freedOn(entry.worker().id()));
    }

    private int countFitting(CapacityLedger.Entry entry, Capacity freed) {
      Capacity capacity = entry.freeAfterStops(pending).plus(freed);
      return entry.limitCount(pending, capacity.maxCount(pending.spec().reserved()), members);
    }

    /** Returns the cheapest way found to fit more tasks by stops on a worker, or null. */
    private Candidate cheapest(CapacityLedger.Entry entry, VictimSet stopped) {
      List<PlanView.RunningTask> onWorker = new ArrayList<>();
      Map<JobId, Double> coresByJob = new HashMap<>();
      for (PlanView.RunningTask run : runs.onWorker(entry.worker().id())) {
        if (eligible.test(run) && !runs.isStopping(run) && !stopped.contains(run)) {
          onWorker.add(run);
          coresByJob.merge(run.task().job(), 1 + run.held().pricedCores(), Double::sum);
        }
      }
      if (onWorker.isEmpty()) {
        return null;
      }
      // The loss of a caller is spread over all runs of the job here, so that these stay together.
      IdentityHashMap<PlanView.RunningTask, Double> costPerCore = new IdentityHashMap<>();
      for (PlanView.RunningTask run : onWorker) {
        double stopCost = 0;
        for (PlanView.RunningTask ending : runs.endingWith(run)) {
          stopCost += VictimSet.stopCost(ending);
        }
        double lostValue = stopped.additionalCost(run) - stopCost;
        costPerCore.put(
            run,
            stopCost / (1 + run.held().pricedCores())
                + lostValue / coresByJob.get(run.task().job()));
      }
      Comparator<PlanView.RunningTask> byCostPerCore = Comparator.comparingDouble(costPerCore::get);
      Candidate byCost = firstFit(entry, stopped, onWorker, byCostPerCore);
      if (byCost == null || byCost.victims().size() == 1) {
        return byCost;
      }
      Comparator<PlanView.RunningTask> largestFirst =
          Comparator.comparingDouble(run -> -run.held().pricedCores());
      Candidate bySize =
          firstFit(entry, stopped, onWorker, largestFirst.thenComparing(byCostPerCore));
      return byCost.costPerTask(members) <= bySize.costPerTask(members) ? byCost : bySize;
    }

    /** Takes runs in an order until one more task fits, and drops those that are not needed. */
    private Candidate firstFit(
        CapacityLedger.Entry entry,
        VictimSet stopped,
        List<PlanView.RunningTask> onWorker,
        Comparator<PlanView.RunningTask> order) {
      WorkerId worker = entry.worker().id();
      int before = countFitting(entry, stopped);
      Capacity freed = stopped.freedOn(worker);
      List<PlanView.RunningTask> sorted = new ArrayList<>(onWorker);
      sorted.sort(order);
      List<PlanView.RunningTask> taken = new ArrayList<>();
      Set<StepId> gangs = new HashSet<>();
      for (PlanView.RunningTask run : sorted) {
        if (run.gang() && !gangs.add(run.task().step())) {
          continue;
        }
        taken.add(run);
        freed = freed.plus(freedOn(worker, run));
        if (countFitting(entry, freed) > before) {
          dropUnneeded(entry, stopped, taken, freed, before);
          return new Candidate(taken, additionalCost(stopped, taken), countGained(taken, stopped));
        }
      }
      return null;
    }

    /** Returns the capacity that a stop frees on a worker, other members of a gang included. */
    private Capacity freedOn(WorkerId worker, PlanView.RunningTask victim) {
      if (!victim.gang()) {
        return victim.held();
      }
      Capacity freed = Capacity.NONE;
      for (PlanView.RunningTask run : runs.endingWith(victim)) {
        freed = run.worker().equals(worker) ? freed.plus(run.held()) : freed;
      }
      return freed;
    }

    private static double additionalCost(VictimSet stopped, List<PlanView.RunningTask> taken) {
      return taken.size() == 1
          ? stopped.additionalCost(taken.get(0))
          : stopped.additionalCost(taken);
    }

    /** Drops victims on a worker without which one more task fits, the most expensive first. */
    private void dropUnneeded(
        CapacityLedger.Entry entry,
        VictimSet stopped,
        List<PlanView.RunningTask> taken,
        Capacity freed,
        int fittingBefore) {
      Capacity left = freed;
      for (PlanView.RunningTask run : mostExpensiveFirst(taken, stopped)) {
        Capacity without = left.minus(freedOn(entry.worker().id(), run));
        if (taken.size() > 1 && countFitting(entry, without) > fittingBefore) {
          taken.remove(run);
          left = without;
        }
      }
    }

    /** Drops victims without which the step still fits, the most expensive first. */
    private List<PlanView.RunningTask> withoutUnneeded(List<PlanView.RunningTask> victims) {
      List<PlanView.RunningTask> needed = new ArrayList<>(victims);
      for (PlanView.RunningTask run : mostExpensiveFirst(victims, new VictimSet(runs))) {
        needed.remove(run);
        if (countFitting(VictimSet.of(runs, needed)) < members) {
          needed.add(run);
        }
      }
      return List.copyOf(needed);
    }

    private static List<PlanView.RunningTask> mostExpensiveFirst(
        List<PlanView.RunningTask> victims, VictimSet stopped) {
      List<PlanView.RunningTask> sorted = new ArrayList<>(victims);
      sorted.sort(Comparator.comparingDouble(run -> -stopped.additionalCost(run)));
      return sorted;
    }

    /** Returns how many more tasks fit into the group, whole gangs counted. */
    private int countGained(List<PlanView.RunningTask> taken, VictimSet stopped) {
      Map<WorkerId, Capacity> freed = new HashMap<>();
      for (PlanView.RunningTask victim : taken) {
        for (PlanView.RunningTask run : runs.endingWith(victim)) {
          freed.merge(run.worker(), run.held(), Capacity::plus);
        }
      }
      int gained = 0;
      for (Map.Entry<WorkerId, Capacity> worker : freed.entrySet()) {
        CapacityLedger.Entry entry = entries.get(worker.getKey());
        if (entry != null) {
          Capacity before = stopped.freedOn(worker.getKey());
          gained +=
              countFitting(entry, before.plus(worker.getValue())) - countFitting(entry, before);
        }
      }
      return gained;
    }
  }
}
