package org.peridotroute.scheduler.plan;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.TaskId;

/** One decision of a pass. Immutable. */
public sealed interface PlacementDecision {
  /**
   * Starts tasks of a step, all at once.
   *
   * @param step the step
   * @param workers the worker of each task by the task's number
   */
  record Start(StepId step, Map<Integer, WorkerId> workers) implements PlacementDecision {
    /** Copies the map; its order is that of the tasks, so that a replay does the same. */
    public Start {
      workers = Collections.unmodifiableMap(new TreeMap<>(workers));
    }
  }

  /**
   * Stops a run to make room.
   *
   * @param task the task; of a gang any member, since the others end with it
   * @param run its run
   * @param beneficiary the step that gets the room
   */
  record Preempt(TaskId task, int run, StepId beneficiary) implements PlacementDecision {}
}
