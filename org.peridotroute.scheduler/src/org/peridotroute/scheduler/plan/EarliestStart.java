package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;

/**
 * Estimates when a gang could start in a group of workers if nothing else were placed there, from
 * the expected ends of the tasks that run now. Used for one pass only.
 */
final class EarliestStart {
  /** Result for a group in which running tasks will never free enough capacity. */
  static final long NEVER_MILLIS = Long.MAX_VALUE;

  private final Map<WorkerId, List<PlanView.RunningTask>> byWorker = new HashMap<>();

  EarliestStart(List<PlanView.RunningTask> runningTasks) {
    for (PlanView.RunningTask run : runningTasks) {
      byWorker.computeIfAbsent(run.worker(), key -> new ArrayList<>()).add(run);
    }
  }

  /**
   * Returns the time until the step fits into a group of workers, in milliseconds.
   *
   * @param members number of tasks that must fit at once
   */
  long waitMillis(PlanView.PendingStep pending, List<CapacityLedger.Entry> group, int members) {
    Map<WorkerId, CapacityLedger.Entry> entries = new HashMap<>();
    Map<WorkerId, Capacity> free = new HashMap<>();
    List<PlanView.RunningTask> ending = new ArrayList<>();
    int fitting = 0;
    for (CapacityLedger.Entry entry : group) {
      WorkerId worker = entry.worker().id();
      entries.put(worker, entry);
      free.put(worker, entry.freeAfterStops(pending));
      fitting += entry.countFittingAfterStops(pending, members);
      ending.addAll(byWorker.getOrDefault(worker, List.of()));
    }
    ending.sort(Comparator.comparingLong(PlanView.RunningTask::remainingMillis));
    if (fitting >= members) {
      return 0;
    }
    for (PlanView.RunningTask run : ending) {
      CapacityLedger.Entry entry = entries.get(run.worker());
      Capacity before = free.get(run.worker());
      Capacity after = before.plus(run.held());
      free.put(run.worker(), after);
      fitting += count(pending, entry, after, members) - count(pending, entry, before, members);
      if (fitting >= members) {
        return run.remainingMillis();
      }
    }
    return NEVER_MILLIS;
  }

  private static int count(
      PlanView.PendingStep pending, CapacityLedger.Entry entry, Capacity capacity, int members) {
    return entry.limitCount(pending, capacity.maxCount(pending.spec().reserved()), members);
  }
}
