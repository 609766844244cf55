package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.StepId;

/** The running tasks by worker and gang, and which of them this pass stops. Mutable. */
final class RunIndex {
  private final Map<WorkerId, List<PlanView.RunningTask>> byWorker = new HashMap<>();
  private final Map<StepId, List<PlanView.RunningTask>> gangs = new HashMap<>();
  private final Set<PlanView.RunningTask> stopping = newRunSet();

  RunIndex(List<PlanView.RunningTask> runningTasks) {
    for (PlanView.RunningTask run : runningTasks) {
      byWorker.computeIfAbsent(run.worker(), key -> new ArrayList<>()).add(run);
      if (run.gang()) {
        gangs.computeIfAbsent(run.task().step(), key -> new ArrayList<>()).add(run);
      }
    }
  }

  /** Returns a set that compares runs by identity, since the hash of a run is costly. */
  static Set<PlanView.RunningTask> newRunSet() {
    return Collections.newSetFromMap(new IdentityHashMap<>());
  }

  List<PlanView.RunningTask> onWorker(WorkerId worker) {
    return byWorker.getOrDefault(worker, List.of());
  }

  /** Returns all runs that end when the given one is stopped: itself, or its whole gang. */
  List<PlanView.RunningTask> endingWith(PlanView.RunningTask run) {
    return run.gang() ? gangs.get(run.task().step()) : List.of(run);
  }

  boolean isStopping(PlanView.RunningTask run) {
    return stopping.contains(run);
  }

  /**
   * Marks the victims as stopping and returns all runs that end with them, gang members included.
   */
  List<PlanView.RunningTask> markStopping(Collection<PlanView.RunningTask> victims) {
    List<PlanView.RunningTask> ending = new ArrayList<>();
    for (PlanView.RunningTask victim : victims) {
      for (PlanView.RunningTask run : endingWith(victim)) {
        if (stopping.add(run)) {
          ending.add(run);
        }
      }
    }
    return ending;
  }
}
