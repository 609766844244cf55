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
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.StepId;

/**
 * Chooses which running work makes room at the least loss. A gang counts whole, since all its
 * members end with one. Mutable; lives for one pass.
 */
final class VictimSelector {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /** Loss counted for each task beside its unsaved work, so that fewer stops win. Core-seconds. */
  private static final double STOP_COST = 5;

  private final Map<WorkerId, List<PlanView.RunningTask>> byWorker = new HashMap<>();
  private final Map<StepId, List<PlanView.RunningTask>> gangs = new HashMap<>();
  private final Set<PlanView.RunningTask> taken = new HashSet<>();

  VictimSelector(List<PlanView.RunningTask> running) {
    for (PlanView.RunningTask one : running) {
      byWorker.computeIfAbsent(one.worker(), key -> new ArrayList<>()).add(one);
      if (one.gang()) {
        gangs.computeIfAbsent(one.task().step(), key -> new ArrayList<>()).add(one);
      }
    }
  }

  /**
   * A choice of victims.
   *
   * @param named the runs to stop; members that a gang takes along are not named
   * @param cost core-seconds thrown away
   */
  record Selection(List<PlanView.RunningTask> named, double cost) {}

  /** One more slot on a worker, and what it costs. */
  private record Candidate(
      CapacityLedger.Entry slot, List<PlanView.RunningTask> victims, double cost) {}

  /** Finds victims on a group of workers that make enough room, or null if there are none. */
  Selection cheapest(PlanView.PendingStep waiting, List<CapacityLedger.Entry> group, int members) {
    int have = group.stream().mapToInt(slot -> slot.fitsSoon(waiting, members)).sum();
    PriorityQueue<Candidate> steps =
        new PriorityQueue<>(
            Comparator.comparingDouble(Candidate::cost)
                .thenComparing(step -> step.slot().worker().id()));
    Map<CapacityLedger.Entry, Set<PlanView.RunningTask>> chosen = new HashMap<>();
    group.forEach(slot -> offer(steps, waiting, slot, Set.of()));
    Set<PlanView.RunningTask> named = new LinkedHashSet<>();
    double cost = 0;
    while (have < members) {
      Candidate step = steps.poll();
      if (step == null) {
        return null;
      }
      cost += step.cost();
      named.addAll(step.victims());
      Set<PlanView.RunningTask> here = chosen.computeIfAbsent(step.slot(), key -> new HashSet<>());
      int before = fits(waiting, step.slot(), here, members);
      here.addAll(step.victims());
      have += fits(waiting, step.slot(), here, members) - before;
      offer(steps, waiting, step.slot(), here);
    }
    return new Selection(List.copyOf(named), cost);
  }

  private static int fits(
      PlanView.PendingStep waiting,
      CapacityLedger.Entry slot,
      Set<PlanView.RunningTask> stopped,
      int most) {
    Capacity room = slot.soon();
    for (PlanView.RunningTask one : stopped) {
      room = room.plus(one.held());
    }
    return slot.limited(waiting, room.count(waiting.spec().reserved()), most);
  }

  /** Offers the cheapest way to fit one more task on a worker, given victims already chosen. */
  private void offer(
      PriorityQueue<Candidate> steps,
      PlanView.PendingStep waiting,
      CapacityLedger.Entry slot,
      Set<PlanView.RunningTask> already) {
    List<PlanView.RunningTask> order = new ArrayList<>();
    for (PlanView.RunningTask one : byWorker.getOrDefault(slot.worker().id(), List.of())) {
      if (one.priority() > waiting.priority() && !taken.contains(one) && !already.contains(one)) {
        order.add(one);
      }
    }
    order.sort(Comparator.comparingDouble(one -> cost(one) / (1 + one.held().pricedCores())));
    int most = Integer.MAX_VALUE;
    int before = fits(waiting, slot, already, most);
    Set<PlanView.RunningTask> stopped = new HashSet<>(already);
    List<PlanView.RunningTask> added = new ArrayList<>();
    for (PlanView.RunningTask one : order) {
      stopped.add(one);
      added.add(one);
      if (fits(waiting, slot, stopped, most) > before) {
        prune(waiting, slot, stopped, added, before);
        steps.add(
            new Candidate(slot, List.copyOf(added), added.stream().mapToDouble(this::cost).sum()));
        return;
      }
    }
  }

  /** Spares victims that turn out not to be needed, the dearest first. */
  private void prune(
      PlanView.PendingStep waiting,
      CapacityLedger.Entry slot,
      Set<PlanView.RunningTask> stopped,
      List<PlanView.RunningTask> added,
      int before) {
    List<PlanView.RunningTask> dearest = new ArrayList<>(added);
    dearest.sort(Comparator.comparingDouble(this::cost).reversed());
    for (PlanView.RunningTask one : dearest) {
      stopped.remove(one);
      if (fits(waiting, slot, stopped, Integer.MAX_VALUE) > before) {
        added.remove(one);
      } else {
        stopped.add(one);
      }
    }
  }

  private double cost(PlanView.RunningTask one) {
    if (!one.gang()) {
      return lost(one);
    }
    return gangs.get(one.task().step()).stream().mapToDouble(VictimSelector::lost).sum();
  }

  private static double lost(PlanView.RunningTask one) {
    return STOP_COST + one.held().pricedCores() * one.unsavedMillis() / MILLIS_PER_SECOND;
  }

  /** Marks a choice as stopping and returns all runs that end with it. */
  List<PlanView.RunningTask> take(Selection choice) {
    List<PlanView.RunningTask> ending = new ArrayList<>();
    for (PlanView.RunningTask one : choice.named()) {
      List<PlanView.RunningTask> along = one.gang() ? gangs.get(one.task().step()) : List.of(one);
      for (PlanView.RunningTask each : along) {
        if (taken.add(each)) {
          ending.add(each);
        }
      }
    }
    return ending;
  }
}
