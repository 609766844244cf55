package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.StepId;

/** Room as a pass hands it out. Mutable; lives for one pass. */
final class RoomLedger {
  /** Room of one worker. */
  static final class Slot {
    private final PlanView.WorkerView worker;
    private final Map<StepId, Integer> tasksByStep;
    private Capacity free;
    private Capacity open;
    private Capacity soon;
    private long yielding;

    private Slot(PlanView.WorkerView worker) {
      this.worker = worker;
      free = worker.free();
      open = free;
      soon = worker.freeAfterStops();
      yielding = worker.yielding();
      tasksByStep = new HashMap<>(worker.tasksByStep());
    }

    PlanView.WorkerView worker() {
      return worker;
    }

    Capacity free() {
      return free;
    }

    Capacity soon() {
      return soon;
    }

    /** Returns how many tasks of a step fit now, at most a number. */
    int fits(PlanView.Waiting waiting, int most) {
      Capacity usable = waiting.yields() && !waiting.spec().gang() ? open : free;
      return limited(waiting, usable.maxCount(waiting.spec().reserved()), most);
    }

    /** Returns how many tasks of a step fit once all stops under way have ended. */
    int fitsSoon(PlanView.Waiting waiting, int most) {
      return limited(waiting, soon.maxCount(waiting.spec().reserved()), most);
    }

    /** Returns how many tasks of a step an empty worker of this kind would hold. */
    int fitsEmpty(PlanView.Waiting waiting, int most) {
      return limited(waiting, worker.capacity().maxCount(waiting.spec().reserved()), most);
    }

    int limited(PlanView.Waiting waiting, int room, int most) {
      int limit = waiting.spec().maxPerWorker();
      int perWorker =
          limit == 0
              ? Integer.MAX_VALUE
              : Math.max(0, limit - tasksByStep.getOrDefault(waiting.step(), 0));
      return Math.min(most, Math.min(room, perWorker));
    }

    void take(PlanView.Waiting waiting) {
      free = free.minus(waiting.spec().reserved());
      open = open.minus(waiting.spec().reserved());
      if (waiting.yields()) {
        yielding += waiting.spec().reserved().accelerators();
      }
      reserve(waiting);
    }

    /** Returns the accelerators that urgent work can have here without any loss. */
    long withinReach() {
      return Math.max(0, soon.accelerators()) + yielding;
    }

    long yielding() {
      return yielding;
    }

    void reserve(PlanView.Waiting waiting) {
      soon = soon.minus(waiting.spec().reserved());
      tasksByStep.merge(waiting.step(), 1, Integer::sum);
    }

    /** Keeps later work off room that a reservation waits for. */
    void block() {
      free = smaller(free, soon);
      open = smaller(open, soon);
    }

    /** Keeps room for a gang that waits; work that yields may use it meanwhile. */
    void hold(PlanView.Waiting waiting) {
      soon = soon.minus(waiting.spec().reserved());
      free = smaller(free, soon);
    }

    private static Capacity smaller(Capacity one, Capacity other) {
      return new Capacity(
          Math.min(one.milliCores(), other.milliCores()),
          Math.min(one.memoryMb(), other.memoryMb()),
          Math.min(one.accelerators(), other.accelerators()));
    }

    /** Counts a stop that the pass has just decided. */
    void stopping(Capacity held) {
      soon = soon.plus(held);
    }
  }

  private final Map<WorkerId, Slot> slots = new LinkedHashMap<>();

  RoomLedger(List<PlanView.WorkerView> workers) {
    workers.forEach(worker -> slots.put(worker.id(), new Slot(worker)));
  }

  Slot slot(WorkerId id) {
    return slots.get(id);
  }

  /** Returns the workers that may run a step, by kind, label and evidence. */
  List<Slot> candidates(PlanView.Waiting waiting) {
    List<Slot> found = new ArrayList<>();
    for (Slot slot : slots.values()) {
      String label = waiting.spec().requiredLabel();
      if (slot.worker.service().equals(waiting.service())
          && (label == null || slot.worker.labels().contains(label))
          && !waiting.avoid().contains(slot.worker.id())) {
        found.add(slot);
      }
    }
    return found;
  }

  /** Returns the accelerators of all workers. */
  long accelerators() {
    return slots.values().stream().mapToLong(slot -> slot.worker.capacity().accelerators()).sum();
  }

  /** Returns the accelerators that nothing holds once stops under way have ended. */
  long unused() {
    return slots.values().stream().mapToLong(slot -> Math.max(0, slot.soon.accelerators())).sum();
  }

  /** Returns the accelerators that urgent work can have without any loss. */
  long withinReach() {
    return slots.values().stream().mapToLong(Slot::withinReach).sum();
  }

  /** Groups workers by rack. */
  static Map<String, List<Slot>> byRack(List<Slot> slots) {
    Map<String, List<Slot>> racks = new LinkedHashMap<>();
    slots.forEach(
        slot -> racks.computeIfAbsent(slot.worker.rack(), key -> new ArrayList<>()).add(slot));
    return racks;
  }
}
