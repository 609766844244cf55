package org.peridotroute.scheduler.plan;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.TaskId;

/** One decision of a scheduling pass. Immutable. */
public sealed interface PlacementDecision {
  /**
   * Starts tasks of a step, all at once.
   *
   * @param step the step
   * @param workers the worker of each task, by task index
   */
  record Start(StepId step, Map<Integer, WorkerId> workers) implements PlacementDecision {
    /**
     * Copies the map, sorted by task index, so that a replay starts the tasks in the same order.
     */
    public Start {
      workers = Collections.unmodifiableMap(new TreeMap<>(workers));
    }
  }

  /**
   * Stops a run to free capacity.
   *
   * @param task the task; for a gang any member, since the other members end with it
   * @param run number of the run to stop
   * @param beneficiary the step that gets the capacity
   */
  record Preempt(TaskId task, int run, StepId beneficiary) implements PlacementDecision {}

  /**
   * Claims capacity that stops will free, so that later passes keep it for the step until the step
   * starts.
   *
   * @param claim the claim; it replaces an earlier one of the same step
   */
  record Reserve(CapacityClaim claim) implements PlacementDecision {}
}
