package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.StepId;

/**
 * Remaining capacity of the workers during one scheduling pass. Mutable; used for one pass only.
 */
final class CapacityLedger {
  /** Remaining capacity of one worker. */
  static final class Entry {
    private final PlanView.WorkerView worker;
    private final Map<StepId, Integer> tasksByStep;
    private Capacity free;
    private Capacity freeAfterStops;
    private Capacity claimed = Capacity.NONE;
    private Capacity heldForGangs = Capacity.NONE;
    private long heldFromMillis = Long.MAX_VALUE;
    private boolean heldByPreemptor = true;
    private final Set<StepId> claimants = new HashSet<>();
    private long preemptibleAccelerators;
    private JobId isolatedFor;

    private Entry(PlanView.WorkerView worker) {
      this.worker = worker;
      free = worker.free();
      freeAfterStops = worker.freeAfterStops();
      preemptibleAccelerators = worker.preemptibleAccelerators();
      isolatedFor = worker.isolatedFor();
      tasksByStep = new HashMap<>(worker.tasksByStep());
    }

    PlanView.WorkerView worker() {
      return worker;
    }

    Capacity free() {
      return free;
    }

    /**
     * Returns the capacity that a step could get once all pending stops have ended: what is neither
     * claimed by others nor held for a gang. What a step has claimed is not held for any gang.
     */
    Capacity freeAfterStops(PlanView.PendingStep pending) {
      Capacity unclaimed = freeAfterStops.minus(claimed);
      return claimants.contains(pending.step()) ? unclaimed : unclaimed.minus(heldForGangs);
    }

    /**
     * Returns how many tasks of a step fit now.
     *
     * @param limit upper bound of the result
     */
    int countFitting(PlanView.PendingStep pending, int limit) {
      if (worker.free().isNegative()) {
        // The worker has shrunk. No task may join it, not even one that needs none of what it
        // lacks.
        return 0;
      }
      boolean mayUseHeld =
          !pending.spec().gang()
              && (pending.durationMillis() <= heldFromMillis
                  || (heldByPreemptor && pending.isPreemptibleWithoutLoss()));
      Capacity usable =
          min(free, mayUseHeld ? freeAfterStops.minus(claimed) : freeAfterStops(pending));
      return limitCount(pending, usable.maxCount(pending.spec().reserved()), limit);
    }

    /**
     * Returns how many tasks of a step fit once all pending stops have ended.
     *
     * @param limit upper bound of the result
     */
    int countFittingAfterStops(PlanView.PendingStep pending, int limit) {
      return limitCount(
          pending, freeAfterStops(pending).maxCount(pending.spec().reserved()), limit);
    }

    /**
     * Returns how many tasks of a step this worker would hold if it were empty and no job had it to
     * itself.
     *
     * @param limit upper bound of the result
     */
    int countFittingWhenEmpty(PlanView.PendingStep pending, int limit) {
      return limitPerWorker(pending, worker.capacity().maxCount(pending.spec().reserved()), limit);
    }

    /** Returns the number of tasks of other jobs on this worker. */
    int countTasksOfOthers(JobId job) {
      return tasksByStep.entrySet().stream()
          .filter(entry -> !entry.getKey().job().equals(job))
          .mapToInt(Map.Entry::getValue)
          .sum();
    }

    /** Keeps other jobs off this worker for the rest of the pass. */
    void isolateFor(JobId job) {
      isolatedFor = job;
    }

    private boolean isIsolatedFrom(JobId job) {
      return isolatedFor != null && !isolatedFor.equals(job);
    }

    /** Limits a number of tasks that fit to what this worker may take of the step. */
    int limitCount(PlanView.PendingStep pending, int fitting, int limit) {
      return isIsolatedFrom(pending.step().job()) ? 0 : limitPerWorker(pending, fitting, limit);
    }

    private int limitPerWorker(PlanView.PendingStep pending, int fitting, int limit) {
      int maxPerWorker = pending.spec().maxPerWorker();
      int leftOnWorker =
          maxPerWorker == 0
              ? Integer.MAX_VALUE
              : Math.max(0, maxPerWorker - tasksByStep.getOrDefault(pending.step(), 0));
      return Math.min(limit, Math.min(fitting, leftOnWorker));
    }

    void allocate(PlanView.PendingStep pending) {
      free = free.minus(pending.spec().reserved());
      if (pending.isPreemptibleWithoutLoss()) {
        preemptibleAccelerators += pending.spec().reserved().accelerators();
      }
      reserve(pending);
    }

    /** Returns the accelerators of this worker that urgent work can get without losing work. */
    long acceleratorsWithoutLoss() {
      return unusedAccelerators() + preemptibleAccelerators;
    }

    /** Returns the accelerators that are unallocated and not held once all stops have ended. */
    long unusedAccelerators() {
      return Math.max(0, freeAfterStops.minus(heldForGangs).accelerators());
    }

    long preemptibleAccelerators() {
      return preemptibleAccelerators;
    }

    void reserve(PlanView.PendingStep pending) {
      freeAfterStops = freeAfterStops.minus(pending.spec().reserved());
      tasksByStep.merge(pending.step(), 1, Integer::sum);
    }

    /**
     * Claims capacity for tasks of a step, which no other step gets until the claim is released.
     */
    void claim(PlanView.PendingStep pending, int tasks) {
      claimants.add(pending.step());
      for (int i = 0; i < tasks; i++) {
        claimed = claimed.plus(pending.spec().reserved());
      }
    }

    /** Releases a claim, when it is the turn of its step. */
    void releaseClaim(PlanView.PendingStep pending, int tasks) {
      for (int i = 0; i < tasks; i++) {
        claimed = claimed.minus(pending.spec().reserved());
      }
    }

    /** Makes capacity that a reservation waits for unavailable to later steps of the pass. */
    void protectReservation() {
      free = min(free, freeAfterStops);
    }

    /**
     * Holds capacity for a pending gang. Meanwhile it may be used by tasks that should end before
     * the gang can start, and by tasks that the gang may preempt without loss.
     *
     * @param waitMillis expected time until the gang can start
     * @param mayPreempt whether the gang may preempt less urgent tasks
     */
    void hold(PlanView.PendingStep pending, long waitMillis, boolean mayPreempt) {
      heldFromMillis = Math.min(heldFromMillis, waitMillis);
      heldByPreemptor &= mayPreempt;
      heldForGangs = heldForGangs.plus(pending.spec().reserved());
    }

    private static Capacity min(Capacity one, Capacity other) {
      return new Capacity(
          Math.min(one.milliCores(), other.milliCores()),
          Math.min(one.memoryMb(), other.memoryMb()),
          Math.min(one.accelerators(), other.accelerators()));
    }

    /** Adds capacity that a stop decided in this pass will release. */
    void addStopping(Capacity held) {
      freeAfterStops = freeAfterStops.plus(held);
    }
  }

  /** Share of the workers that may be vacated for suspect tasks at a time. */
  private static final double MAX_VACATED_SHARE = 0.06;

  private final Map<WorkerId, Entry> entries = new LinkedHashMap<>();
  private int vacatedCount;

  CapacityLedger(List<PlanView.WorkerView> workers) {
    workers.forEach(worker -> entries.put(worker.id(), new Entry(worker)));
  }

  Entry entry(WorkerId id) {
    return entries.get(id);
  }

  /**
   * Returns the workers that may run a step: of its service, with its required label, and not
   * excluded by earlier failures.
   */
  List<Entry> candidates(PlanView.PendingStep pending) {
    List<Entry> found = new ArrayList<>();
    for (Entry entry : entries.values()) {
      String label = pending.spec().requiredLabel();
      if (entry.worker.service().equals(pending.service())
          && (label == null || entry.worker.labels().contains(label))
          && !pending.excludedWorkers().contains(entry.worker.id())) {
        found.add(entry);
      }
    }
    return found;
  }

  /** Returns the workers without tasks of other jobs. */
  static List<Entry> unshared(PlanView.PendingStep pending, List<Entry> candidates) {
    return candidates.stream()
        .filter(entry -> entry.countTasksOfOthers(pending.step().job()) == 0)
        .toList();
  }

  /** Keeps other jobs off the worker that a suspect task can soonest have to itself. */
  void vacateFor(PlanView.PendingStep pending, List<Entry> candidates) {
    JobId job = pending.step().job();
    if (vacatedCount >= Math.max(1, MAX_VACATED_SHARE * entries.size())) {
      return;
    }
    candidates.stream()
        .filter(entry -> !entry.isIsolatedFrom(job))
        .filter(entry -> entry.countFittingWhenEmpty(pending, 1) > 0)
        .min(
            Comparator.comparingInt((Entry entry) -> entry.countTasksOfOthers(job))
                .thenComparing(entry -> entry.worker().id()))
        .ifPresent(
            entry -> {
              entry.isolateFor(job);
              vacatedCount++;
            });
  }

  /** Returns the accelerators of all workers. */
  long totalAccelerators() {
    return entries.values().stream()
        .mapToLong(entry -> entry.worker.capacity().accelerators())
        .sum();
  }

  /** Returns the accelerators that are unallocated once all pending stops have ended. */
  long unusedAccelerators() {
    return entries.values().stream().mapToLong(Entry::unusedAccelerators).sum();
  }

  /** Returns the accelerators that urgent work can get without losing work. */
  long acceleratorsWithoutLoss() {
    return entries.values().stream().mapToLong(Entry::acceleratorsWithoutLoss).sum();
  }

  /** Groups workers by rack. */
  static Map<String, List<Entry>> byRack(List<Entry> entries) {
    Map<String, List<Entry>> racks = new LinkedHashMap<>();
    entries.forEach(
        entry -> racks.computeIfAbsent(entry.worker.rack(), key -> new ArrayList<>()).add(entry));
    return racks;
  }
}
