package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.lib.WorkerId;

/**
 * Serves by priority, then guarantee, then least slack. A gang goes into the rack that it fills
 * best; single tasks fill the fullest workers, so that racks stay whole. Work covered by a
 * guarantee takes room from less urgent work, where the least is thrown away. Immutable.
 */
public final class GangFirstPlacer implements Placer {
  private final PlanSettings settings;

  /**
   * Creates the placer.
   *
   * @param settings its figures
   */
  public GangFirstPlacer(PlanSettings settings) {
    this.settings = settings;
  }

  /**
   * Orders what waits: what its organisation's guarantee covers, then by priority. Within a
   * priority, what can still be on time goes before what is late, and small jobs before large ones,
   * so that in an overload most callers are served. What nobody waits for any more comes last.
   */
  private static Comparator<PlanView.PendingStep> order(long nowMillis) {
    return Comparator.<PlanView.PendingStep>comparingInt(
            waiting -> !waiting.guaranteed() && isExpired(waiting, nowMillis) ? 1 : 0)
        .thenComparingInt(PlanView.PendingStep::priority)
        .thenComparing(waiting -> waiting.guaranteed() ? 0 : 1)
        .thenComparing(waiting -> waiting.usefulness(nowMillis))
        .thenComparingLong(PlanView.PendingStep::acceleratorMillis)
        .thenComparing(waiting -> waiting.step().toString());
  }

  private static boolean isExpired(PlanView.PendingStep waiting, long nowMillis) {
    return waiting.usefulness(nowMillis) == PlanView.Usefulness.NONE;
  }

  @Override
  public List<PlacementDecision> decide(PlanView view) {
    return new Pass(view).run();
  }

  /** One pass. */
  private final class Pass {
    private final PlanView view;
    private final CapacityLedger room;
    private final VictimSelector victims;
    private final List<PlacementDecision> orders = new ArrayList<>();
    private long held;

    Pass(PlanView view) {
      this.view = view;
      room = new CapacityLedger(view.workers());
      victims = new VictimSelector(view.running());
    }

    List<PlacementDecision> run() {
      List<PlanView.PendingStep> queue = new ArrayList<>(view.waiting());
      queue.sort(order(view.nowMillis()));
      for (PlanView.PendingStep waiting : queue) {
        List<CapacityLedger.Entry> candidates = room.candidates(waiting);
        if (waiting.spec().gang()) {
          placeGang(waiting, candidates);
        } else {
          placeEach(waiting, candidates);
        }
      }
      return orders;
    }

    private void placeGang(PlanView.PendingStep waiting, List<CapacityLedger.Entry> candidates) {
      int members = waiting.tasks().size();
      List<List<CapacityLedger.Entry>> near = near(waiting, candidates, members);
      if (!leavesReserve(waiting, members)) {
        hold(waiting, near, members);
        return;
      }
      List<CapacityLedger.Entry> best = tightest(waiting, near, members);
      if (best != null) {
        start(waiting, fill(waiting, best, members));
        return;
      }
      if (waitForStops(waiting, near, members)) {
        return;
      }
      boolean mustStart =
          waiting.guaranteed()
              && view.nowMillis() - waiting.acceptedMillis() >= settings.anywhereAfterMillis();
      if (mayPreempt(waiting) && preempt(waiting, near, members)) {
        return;
      }
      boolean gainsNothing = waiting.priority() == 0 && isLateAnyway(waiting);
      if (mustStart || near.isEmpty() || gainsNothing || waitsBesideIdleRoom(waiting)) {
        placeAnywhere(waiting, candidates, members);
      } else {
        hold(waiting, near, members);
      }
    }

    private boolean isHalfIdle() {
      return 2 * room.unused() > room.accelerators();
    }

    /** A gang that waits for a rack while most room is idle had better run slowly. */
    private boolean waitsBesideIdleRoom(PlanView.PendingStep waiting) {
      return isHalfIdle()
          && view.nowMillis() - waiting.acceptedMillis() >= settings.idleWaitMillis();
    }

    private boolean mayPreempt(PlanView.PendingStep waiting) {
      return waiting.priority() == 0
          && (waiting.guaranteed() || !isExpired(waiting, view.nowMillis()));
    }

    /**
     * Keeps the room of a gang that cannot start yet, where most of it is free, so that smaller
     * work behind it does not take each part that becomes free. Work that yields may use it
     * meanwhile.
     */
    private void hold(
        PlanView.PendingStep waiting, List<List<CapacityLedger.Entry>> groups, int members) {
      long need = members * waiting.spec().reserved().accelerators();
      if (isHalfIdle()
          || isExpired(waiting, view.nowMillis())
          || held + need > settings.heldPart() * room.accelerators()) {
        return;
      }
      List<CapacityLedger.Entry> best = null;
      int bestFits = -1;
      for (List<CapacityLedger.Entry> group : groups) {
        int fits = group.stream().mapToInt(slot -> slot.fitsSoon(waiting, members)).sum();
        if (fits > bestFits) {
          best = group;
          bestFits = fits;
        }
      }
      if (best == null) {
        return;
      }
      held += need;
      List<CapacityLedger.Entry> order = new ArrayList<>(best);
      order.sort(
          Comparator.comparingInt((CapacityLedger.Entry slot) -> -slot.fitsSoon(waiting, members))
              .thenComparingLong(slot -> -slot.yielding()));
      int left = members;
      for (CapacityLedger.Entry slot : order) {
        int here = slot.fitsEmpty(waiting, left);
        for (int i = 0; i < here; i++) {
          slot.hold(waiting);
        }
        left -= here;
      }
    }

    /**
     * Returns whether urgent work to come can still have its reserve without loss once tasks have
     * started. Work that yields takes nothing from it.
     */
    private boolean leavesReserve(PlanView.PendingStep waiting, int tasks) {
      if (waiting.priority() == 0 || waiting.yields()) {
        return true;
      }
      long taken = tasks * waiting.spec().reserved().accelerators();
      return room.withinReach() - taken >= view.urgentReserve();
    }

    private void placeAnywhere(
        PlanView.PendingStep waiting, List<CapacityLedger.Entry> candidates, int members) {
      List<List<CapacityLedger.Entry>> all = List.of(candidates);
      if (tightest(waiting, all, members) != null) {
        start(waiting, fill(waiting, candidates, members));
      } else if (!waitForStops(waiting, all, members) && mayPreempt(waiting)) {
        preempt(waiting, all, members);
      }
    }

    /** Returns the groups of workers among which the step runs at full speed and could ever fit. */
    private List<List<CapacityLedger.Entry>> near(
        PlanView.PendingStep waiting, List<CapacityLedger.Entry> candidates, int members) {
      String data = waiting.spec().dataRack();
      if (!waiting.spec().sameRack() && data == null) {
        return List.of(candidates);
      }
      List<List<CapacityLedger.Entry>> groups = new ArrayList<>();
      CapacityLedger.byRack(candidates)
          .forEach(
              (rack, slots) -> {
                int most = slots.stream().mapToInt(slot -> slot.fitsEmpty(waiting, members)).sum();
                if ((data == null || data.equals(rack)) && most >= members) {
                  groups.add(slots);
                }
              });
      return groups;
    }

    /**
     * Returns the best group with enough room, or null: the fast racks for urgent work, the slow
     * ones for other work, and among these the one with the least room left over.
     */
    private List<CapacityLedger.Entry> tightest(
        PlanView.PendingStep waiting, List<List<CapacityLedger.Entry>> groups, int members) {
      Comparator<List<CapacityLedger.Entry>> order =
          Comparator.<List<CapacityLedger.Entry>>comparingInt(
                  group -> group.stream().mapToInt(slot -> mismatch(waiting, slot)).max().orElse(0))
              .thenComparingLong(
                  group -> group.stream().mapToLong(slot -> slot.free().accelerators()).sum());
      return groups.stream()
          .filter(
              group ->
                  group.stream().mapToInt(slot -> slot.fits(waiting, members)).sum() >= members)
          .min(order)
          .orElse(null);
    }

    /** Chooses workers within a group, the fullest first. */
    private Map<Integer, WorkerId> fill(
        PlanView.PendingStep waiting, List<CapacityLedger.Entry> group, int members) {
      Map<Integer, WorkerId> chosen = new LinkedHashMap<>();
      List<CapacityLedger.Entry> order = new ArrayList<>(group);
      order.sort(preference(waiting));
      int next = 0;
      for (CapacityLedger.Entry slot : order) {
        int here = slot.fits(waiting, members - next);
        for (int i = 0; i < here; i++) {
          chosen.put(waiting.tasks().get(next), slot.worker().id());
          slot.take(waiting);
          next++;
        }
      }
      return chosen;
    }

    /** Returns 1 where urgent work would run slowly, or other work take room on fast racks. */
    private static int mismatch(PlanView.PendingStep waiting, CapacityLedger.Entry slot) {
      boolean slow = slot.worker().slowness() >= PlanSettings.SLOW;
      return slow == (waiting.priority() == 0) ? 1 : 0;
    }

    /**
     * Prefers sound workers of the speed that suits the work, then keeps work that yields together
     * and other work away from it, so that whole workers can be taken back at no loss, then fills
     * the fullest.
     */
    private static Comparator<CapacityLedger.Entry> preference(PlanView.PendingStep waiting) {
      int direction = waiting.yields() ? -1 : 1;
      return Comparator.<CapacityLedger.Entry>comparingInt(slot -> slot.worker().doubt())
          .thenComparingInt(slot -> mismatch(waiting, slot))
          .thenComparingLong(slot -> (long) direction * Long.signum(slot.yielding()))
          .thenComparingLong(slot -> slot.free().accelerators())
          .thenComparingLong(slot -> slot.free().memoryMb());
    }

    private void start(PlanView.PendingStep waiting, Map<Integer, WorkerId> chosen) {
      if (!chosen.isEmpty()) {
        orders.add(new PlacementDecision.Start(waiting.step(), chosen));
      }
    }

    /** Keeps room that is being cleared for a gang, if there will be enough. */
    private boolean waitForStops(
        PlanView.PendingStep waiting, List<List<CapacityLedger.Entry>> groups, int members) {
      for (List<CapacityLedger.Entry> group : groups) {
        int soon = group.stream().mapToInt(slot -> slot.fitsSoon(waiting, members)).sum();
        if (soon >= members) {
          reserve(waiting, group, members);
          return true;
        }
      }
      return false;
    }

    private void reserve(
        PlanView.PendingStep waiting, List<CapacityLedger.Entry> group, int members) {
      int left = members;
      for (CapacityLedger.Entry slot : group) {
        int here = slot.fitsSoon(waiting, left);
        for (int i = 0; i < here; i++) {
          slot.reserve(waiting);
        }
        slot.block();
        left -= here;
      }
    }

    private boolean preempt(
        PlanView.PendingStep waiting, List<List<CapacityLedger.Entry>> groups, int members) {
      VictimSelector.Selection best = null;
      List<CapacityLedger.Entry> where = null;
      for (List<CapacityLedger.Entry> group : groups) {
        VictimSelector.Selection choice = victims.cheapest(waiting, group, members);
        if (choice != null && (best == null || choice.cost() < best.cost())) {
          best = choice;
          where = group;
        }
      }
      if (best == null) {
        return false;
      }
      for (PlanView.RunningTask victim : victims.take(best)) {
        CapacityLedger.Entry slot = room.slot(victim.worker());
        if (slot != null) {
          slot.stopping(victim.held());
        }
      }
      best.named()
          .forEach(
              victim ->
                  orders.add(
                      new PlacementDecision.Preempt(victim.task(), victim.run(), waiting.step())));
      reserve(waiting, where, members);
      return true;
    }

    private boolean isLateAnyway(PlanView.PendingStep waiting) {
      return view.nowMillis() + waiting.durationMillis() > waiting.objectiveMillis();
    }

    private void placeEach(PlanView.PendingStep waiting, List<CapacityLedger.Entry> candidates) {
      String data = waiting.spec().dataRack();
      List<CapacityLedger.Entry> near =
          data == null
              ? candidates
              : candidates.stream().filter(slot -> data.equals(slot.worker().rack())).toList();
      Map<Integer, WorkerId> chosen = new HashMap<>();
      boolean mayGoFar = data != null && (near.isEmpty() || mayGoFar(waiting));
      for (int task : waiting.tasks()) {
        if (!leavesReserve(waiting, 1)) {
          break;
        }
        CapacityLedger.Entry slot = best(waiting, near);
        if (slot == null && mayGoFar) {
          slot = best(waiting, candidates);
        }
        if (slot == null) {
          break;
        }
        slot.take(waiting);
        chosen.put(task, slot.worker().id());
      }
      start(waiting, chosen);
      int left = waiting.tasks().size() - chosen.size();
      if (left > 0 && mayPreempt(waiting)) {
        List<CapacityLedger.Entry> where = near.isEmpty() ? candidates : near;
        if (!waitForStops(waiting, List.of(where), left)) {
          preempt(waiting, List.of(where), left);
        }
      }
    }

    /** Returns whether the task would be done sooner far from its data than by waiting longer. */
    private boolean mayGoFar(PlanView.PendingStep waiting) {
      long far = (long) (waiting.durationMillis() * settings.farFactor());
      return waiting.priority() == 0
          || view.nowMillis() + far > waiting.objectiveMillis() - waiting.durationMillis() / 2;
    }

    private CapacityLedger.Entry best(
        PlanView.PendingStep waiting, List<CapacityLedger.Entry> slots) {
      CapacityLedger.Entry found = null;
      Comparator<CapacityLedger.Entry> order = preference(waiting);
      for (CapacityLedger.Entry slot : slots) {
        if (slot.fits(waiting, 1) > 0 && (found == null || order.compare(slot, found) < 0)) {
          found = slot;
        }
      }
      return found;
    }
  }
}
