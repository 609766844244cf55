package org.peridotroute.scheduler.plan;

import java.util.Map;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.StepId;

/**
 * Capacity that is being freed for a pending step. Without the claim, a later pass could give it to
 * another step and stop more runs for this one. Immutable.
 *
 * @param step the step
 * @param tasksByWorker number of its tasks that will run on each worker
 */
public record CapacityClaim(StepId step, Map<WorkerId, Integer> tasksByWorker) {
  /** Copies the map. */
  public CapacityClaim {
    tasksByWorker = Map.copyOf(tasksByWorker);
  }
}
