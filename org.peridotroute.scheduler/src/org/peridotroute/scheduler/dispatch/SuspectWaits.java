package org.peridotroute.scheduler.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.table.StepProgress;

/**
 * Finds the waiting tasks under which workers have crashed, and bounds how long they wait for a
 * worker without other jobs. Confined to the control thread.
 */
final class SuspectWaits {
  /** Longest time for which a suspect task waits for a worker without other jobs. */
  private static final long MAX_WAIT_MILLIS = 3_000;

  private final Map<TaskId, Long> waitingSinceMillis = new HashMap<>();
  private final Set<TaskId> foundInPass = new HashSet<>();

  /** Returns a copy whose updates leave this one as it is. */
  SuspectWaits copy() {
    SuspectWaits copy = new SuspectWaits();
    copy.waitingSinceMillis.putAll(waitingSinceMillis);
    return copy;
  }

  /** Returns the suspects among the waiting tasks of a step. */
  PlanView.Suspects find(StepProgress step, List<Integer> waitingTasks, long nowMillis) {
    Set<Integer> suspects = new HashSet<>();
    long untilMillis = nowMillis;
    for (int index : waitingTasks) {
      if (step.tasks().get(index).crashHistory().isSuspect()) {
        TaskId task = new TaskId(step.id(), index);
        foundInPass.add(task);
        suspects.add(index);
        untilMillis =
            Math.max(
                untilMillis,
                waitingSinceMillis.computeIfAbsent(task, key -> nowMillis) + MAX_WAIT_MILLIS);
      }
    }
    return suspects.isEmpty()
        ? PlanView.Suspects.NONE
        : new PlanView.Suspects(suspects, untilMillis);
  }

  /** Forgets the tasks that were not found in this pass, because they wait no longer. */
  void endPass() {
    waitingSinceMillis.keySet().retainAll(foundInPass);
    foundInPass.clear();
  }
}
