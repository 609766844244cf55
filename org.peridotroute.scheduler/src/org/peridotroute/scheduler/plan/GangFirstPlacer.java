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
  private static Comparator<PlanView.Waiting> order(long nowMillis) {
    return Comparator.<PlanView.Waiting>comparingInt(
            waiting -> !waiting.guaranteed() && isExpired(waiting, nowMillis) ? 1 : 0)
        .thenComparingInt(PlanView.Waiting::priority)
        .thenComparing(waiting -> waiting.guaranteed() ? 0 : 1)
        .thenComparing(waiting -> waiting.usefulness(nowMillis))
        .thenComparingLong(PlanView.Waiting::acceleratorMillis)
        .thenComparing(waiting -> waiting.step().toString());
  }

  private static boolean isExpired(PlanView.Waiting waiting, long nowMillis) {
    return waiting.usefulness(nowMillis) == PlanView.Usefulness.NONE;
  }

  @Override
  public List<PlanOrder> decide(PlanView view) {
    return new Pass(view).run();
  }

  /** One pass. */
  private final class Pass {
    private final PlanView view;
    private final RoomLedger room;
    private final Victims victims;
    private final List<PlanOrder> orders = new ArrayList<>();
    private long held;

    Pass(PlanView view) {
      this.view = view;
      room = new RoomLedger(view.workers());
      victims = new Victims(view.running());
    }

    List<PlanOrder> run() {
      List<PlanView.Waiting> queue = new ArrayList<>(view.waiting());
      queue.sort(order(view.nowMillis()));
      for (PlanView.Waiting waiting : queue) {
        List<RoomLedger.Slot> candidates = room.candidates(waiting);
        if (waiting.spec().gang()) {
          placeGang(waiting, candidates);
        } else {
          placeEach(waiting, candidates);
        }
      }
      return orders;
    }

    private void placeGang(PlanView.Waiting waiting, List<RoomLedger.Slot> candidates) {
      int members = waiting.tasks().size();
      List<List<RoomLedger.Slot>> near = near(waiting, candidates, members);
      if (!leavesReserve(waiting, members)) {
        hold(waiting, near, members);
        return;
      }
      List<RoomLedger.Slot> best = tightest(waiting, near, members);
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
    private boolean waitsBesideIdleRoom(PlanView.Waiting waiting) {
      return isHalfIdle()
          && view.nowMillis() - waiting.acceptedMillis() >= settings.idleWaitMillis();
    }

    private boolean mayPreempt(PlanView.Waiting waiting) {
      return waiting.priority() == 0
          && (waiting.guaranteed() || !isExpired(waiting, view.nowMillis()));
    }

    /**
     * Keeps the room of a gang that cannot start yet, where most of it is free, so that smaller
     * work behind it does not take each part that becomes free. Work that yields may use it
     * meanwhile.
     */
    private void hold(PlanView.Waiting waiting, List<List<RoomLedger.Slot>> groups, int members) {
      long need = members * waiting.spec().reserved().accelerators();
      if (isHalfIdle()
          || isExpired(waiting, view.nowMillis())
          || held + need > settings.heldPart() * room.accelerators()) {
        return;
      }
      List<RoomLedger.Slot> best = null;
      int bestFits = -1;
      for (List<RoomLedger.Slot> group : groups) {
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
      List<RoomLedger.Slot> order = new ArrayList<>(best);
      order.sort(
          Comparator.comparingInt((RoomLedger.Slot slot) -> -slot.fitsSoon(waiting, members))
              .thenComparingLong(slot -> -slot.yielding()));
      int left = members;
      for (RoomLedger.Slot slot : order) {
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
    private boolean leavesReserve(PlanView.Waiting waiting, int tasks) {
      if (waiting.priority() == 0 || waiting.yields()) {
        return true;
      }
      long taken = tasks * waiting.spec().reserved().accelerators();
      return room.withinReach() - taken >= view.urgentReserve();
    }

    private void placeAnywhere(
        PlanView.Waiting waiting, List<RoomLedger.Slot> candidates, int members) {
      List<List<RoomLedger.Slot>> all = List.of(candidates);
      if (tightest(waiting, all, members) != null) {
        start(waiting, fill(waiting, candidates, members));
      } else if (!waitForStops(waiting, all, members) && mayPreempt(waiting)) {
        preempt(waiting, all, members);
      }
    }

    /** Returns the groups of workers among which the step runs at full speed and could ever fit. */
    private List<List<RoomLedger.Slot>> near(
        PlanView.Waiting waiting, List<RoomLedger.Slot> candidates, int members) {
      String data = waiting.spec().dataRack();
      if (!waiting.spec().sameRack() && data == null) {
        return List.of(candidates);
      }
      List<List<RoomLedger.Slot>> groups = new ArrayList<>();
      RoomLedger.byRack(candidates)
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
    private List<RoomLedger.Slot> tightest(
        PlanView.Waiting waiting, List<List<RoomLedger.Slot>> groups, int members) {
      Comparator<List<RoomLedger.Slot>> order =
          Comparator.<List<RoomLedger.Slot>>comparingInt(
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
        PlanView.Waiting waiting, List<RoomLedger.Slot> group, int members) {
      Map<Integer, WorkerId> chosen = new LinkedHashMap<>();
      List<RoomLedger.Slot> order = new ArrayList<>(group);
      order.sort(preference(waiting));
      int next = 0;
      for (RoomLedger.Slot slot : order) {
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
    private static int mismatch(PlanView.Waiting waiting, RoomLedger.Slot slot) {
      boolean slow = slot.worker().slowness() >= PlanSettings.SLOW;
      return slow == (waiting.priority() == 0) ? 1 : 0;
    }

    /**
     * Prefers sound workers of the speed that suits the work, then keeps work that yields together
     * and other work away from it, so that whole workers can be taken back at no loss, then fills
     * the fullest.
     */
    private static Comparator<RoomLedger.Slot> preference(PlanView.Waiting waiting) {
      int direction = waiting.yields() ? -1 : 1;
      return Comparator.<RoomLedger.Slot>comparingInt(slot -> slot.worker().doubt())
          .thenComparingInt(slot -> mismatch(waiting, slot))
          .thenComparingLong(slot -> (long) direction * Long.signum(slot.yielding()))
          .thenComparingLong(slot -> slot.free().accelerators())
          .thenComparingLong(slot -> slot.free().memoryMb());
    }

    private void start(PlanView.Waiting waiting, Map<Integer, WorkerId> chosen) {
      if (!chosen.isEmpty()) {
        orders.add(new PlanOrder.Start(waiting.step(), chosen));
      }
    }

    /** Keeps room that is being cleared for a gang, if there will be enough. */
    private boolean waitForStops(
        PlanView.Waiting waiting, List<List<RoomLedger.Slot>> groups, int members) {
      for (List<RoomLedger.Slot> group : groups) {
        int soon = group.stream().mapToInt(slot -> slot.fitsSoon(waiting, members)).sum();
        if (soon >= members) {
          reserve(waiting, group, members);
          return true;
        }
      }
      return false;
    }

    private void reserve(PlanView.Waiting waiting, List<RoomLedger.Slot> group, int members) {
      int left = members;
      for (RoomLedger.Slot slot : group) {
        int here = slot.fitsSoon(waiting, left);
        for (int i = 0; i < here; i++) {
          slot.reserve(waiting);
        }
        slot.block();
        left -= here;
      }
    }

    private boolean preempt(
        PlanView.Waiting waiting, List<List<RoomLedger.Slot>> groups, int members) {
      Victims.Choice best = null;
      List<RoomLedger.Slot> where = null;
      for (List<RoomLedger.Slot> group : groups) {
        Victims.Choice choice = victims.cheapest(waiting, group, members);
        if (choice != null && (best == null || choice.cost() < best.cost())) {
          best = choice;
          where = group;
        }
      }
      if (best == null) {
        return false;
      }
      for (PlanView.Running victim : victims.take(best)) {
        RoomLedger.Slot slot = room.slot(victim.worker());
        if (slot != null) {
          slot.stopping(victim.held());
        }
      }
      best.named()
          .forEach(
              victim ->
                  orders.add(new PlanOrder.Preempt(victim.task(), victim.run(), waiting.step())));
      reserve(waiting, where, members);
      return true;
    }

    private boolean isLateAnyway(PlanView.Waiting waiting) {
      return view.nowMillis() + waiting.durationMillis() > waiting.objectiveMillis();
    }

    private void placeEach(PlanView.Waiting waiting, List<RoomLedger.Slot> candidates) {
      String data = waiting.spec().dataRack();
      List<RoomLedger.Slot> near =
          data == null
              ? candidates
              : candidates.stream().filter(slot -> data.equals(slot.worker().rack())).toList();
      Map<Integer, WorkerId> chosen = new HashMap<>();
      boolean mayGoFar = data != null && (near.isEmpty() || mayGoFar(waiting));
      for (int task : waiting.tasks()) {
        if (!leavesReserve(waiting, 1)) {
          break;
        }
        RoomLedger.Slot slot = best(waiting, near);
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
        List<RoomLedger.Slot> where = near.isEmpty() ? candidates : near;
        if (!waitForStops(waiting, List.of(where), left)) {
          preempt(waiting, List.of(where), left);
        }
      }
    }

    /** Returns whether the task would be done sooner far from its data than by waiting longer. */
    private boolean mayGoFar(PlanView.Waiting waiting) {
      long far = (long) (waiting.durationMillis() * settings.farFactor());
      return waiting.priority() == 0
          || view.nowMillis() + far > waiting.objectiveMillis() - waiting.durationMillis() / 2;
    }

    private RoomLedger.Slot best(PlanView.Waiting waiting, List<RoomLedger.Slot> slots) {
      RoomLedger.Slot found = null;
      Comparator<RoomLedger.Slot> order = preference(waiting);
      for (RoomLedger.Slot slot : slots) {
        if (slot.fits(waiting, 1) > 0 && (found == null || order.compare(slot, found) < 0)) {
          found = slot;
        }
      }
      return found;
    }
  }
}
