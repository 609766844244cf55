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
final class Victims {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /** Loss counted for each task beside its unsaved work, so that fewer stops win. Core-seconds. */
  private static final double STOP_COST = 5;

  private final Map<WorkerId, List<PlanView.Running>> byWorker = new HashMap<>();
  private final Map<StepId, List<PlanView.Running>> gangs = new HashMap<>();
  private final Set<PlanView.Running> taken = new HashSet<>();

  Victims(List<PlanView.Running> running) {
    for (PlanView.Running one : running) {
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
  record Choice(List<PlanView.Running> named, double cost) {}

  /** One more slot on a worker, and what it costs. */
  private record Step(RoomLedger.Slot slot, List<PlanView.Running> victims, double cost) {}

  /** Finds victims on a group of workers that make enough room, or null if there are none. */
  Choice cheapest(PlanView.Waiting waiting, List<RoomLedger.Slot> group, int members) {
    int have = group.stream().mapToInt(slot -> slot.fitsSoon(waiting, members)).sum();
    PriorityQueue<Step> steps =
        new PriorityQueue<>(
            Comparator.comparingDouble(Step::cost)
                .thenComparing(step -> step.slot().worker().id()));
    Map<RoomLedger.Slot, Set<PlanView.Running>> chosen = new HashMap<>();
    group.forEach(slot -> offer(steps, waiting, slot, Set.of()));
    Set<PlanView.Running> named = new LinkedHashSet<>();
    double cost = 0;
    while (have < members) {
      Step step = steps.poll();
      if (step == null) {
        return null;
      }
      cost += step.cost();
      named.addAll(step.victims());
      Set<PlanView.Running> here = chosen.computeIfAbsent(step.slot(), key -> new HashSet<>());
      int before = fits(waiting, step.slot(), here, members);
      here.addAll(step.victims());
      have += fits(waiting, step.slot(), here, members) - before;
      offer(steps, waiting, step.slot(), here);
    }
    return new Choice(List.copyOf(named), cost);
  }

  private static int fits(
      PlanView.Waiting waiting, RoomLedger.Slot slot, Set<PlanView.Running> stopped, int most) {
    Capacity room = slot.soon();
    for (PlanView.Running one : stopped) {
      room = room.plus(one.held());
    }
    return slot.limited(waiting, room.maxCount(waiting.spec().reserved()), most);
  }

  /** Offers the cheapest way to fit one more task on a worker, given victims already chosen. */
  private void offer(
      PriorityQueue<Step> steps,
      PlanView.Waiting waiting,
      RoomLedger.Slot slot,
      Set<PlanView.Running> already) {
    List<PlanView.Running> order = new ArrayList<>();
    for (PlanView.Running one : byWorker.getOrDefault(slot.worker().id(), List.of())) {
      if (one.priority() > waiting.priority() && !taken.contains(one) && !already.contains(one)) {
        order.add(one);
      }
    }
    order.sort(Comparator.comparingDouble(one -> cost(one) / (1 + one.held().pricedCores())));
    int most = Integer.MAX_VALUE;
    int before = fits(waiting, slot, already, most);
    Set<PlanView.Running> stopped = new HashSet<>(already);
    List<PlanView.Running> added = new ArrayList<>();
    for (PlanView.Running one : order) {
      stopped.add(one);
      added.add(one);
      if (fits(waiting, slot, stopped, most) > before) {
        prune(waiting, slot, stopped, added, before);
        steps.add(new Step(slot, List.copyOf(added), added.stream().mapToDouble(this::cost).sum()));
        return;
      }
    }
  }

  /** Spares victims that turn out not to be needed, the dearest first. */
  private void prune(
      PlanView.Waiting waiting,
      RoomLedger.Slot slot,
      Set<PlanView.Running> stopped,
      List<PlanView.Running> added,
      int before) {
    List<PlanView.Running> dearest = new ArrayList<>(added);
    dearest.sort(Comparator.comparingDouble(this::cost).reversed());
    for (PlanView.Running one : dearest) {
      stopped.remove(one);
      if (fits(waiting, slot, stopped, Integer.MAX_VALUE) > before) {
        added.remove(one);
      } else {
        stopped.add(one);
      }
    }
  }

  private double cost(PlanView.Running one) {
    if (!one.gang()) {
      return lost(one);
    }
    return gangs.get(one.task().step()).stream().mapToDouble(Victims::lost).sum();
  }

  private static double lost(PlanView.Running one) {
    return STOP_COST + one.held().pricedCores() * one.unsavedMillis() / MILLIS_PER_SECOND;
  }

  /** Marks a choice as stopping and returns all runs that end with it. */
  List<PlanView.Running> take(Choice choice) {
    List<PlanView.Running> ending = new ArrayList<>();
    for (PlanView.Running one : choice.named()) {
      List<PlanView.Running> along = one.gang() ? gangs.get(one.task().step()) : List.of(one);
      for (PlanView.Running each : along) {
        if (taken.add(each)) {
          ending.add(each);
        }
      }
    }
    return ending;
  }
}
