package org.peridotroute.scheduler.plan;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.TaskId;

/**
 * Why a pending step starts or waits. Immutable.
 *
 * @param step the step
 * @param outcome what the pass decides for the step
 * @param priority its priority, 0 for the most urgent
 * @param guaranteed whether the guarantee of its organisation covers it
 * @param usefulness how useful the job still is to its caller if the step starts now
 * @param waitedMillis time since the job was accepted, or its occurrence came due
 * @param tasks number of its waiting tasks
 * @param gang whether they start only together
 * @param stepsBefore the steps that the pass considers before it, in their order
 * @param pendingSteps number of all pending steps
 * @param starts the worker of each task that would start now, by task index
 * @param claims number of tasks by worker for which the step would claim capacity
 * @param stops the runs that would be stopped for the step
 * @param racks racks with workers of its service, as found when it is the step's turn
 * @param waitMillis expected time until enough capacity for all its tasks is free, or {@link
 *     StepTrace#NEVER_MILLIS}. Tasks that are no gang start earlier, one by one.
 * @param urgentReserveKept false if the step waits because the capacity is kept for urgent work
 * @param isolationAwaited whether suspect tasks of the step wait for workers without other jobs
 */
public record PlacementExplanation(
    StepId step,
    Outcome outcome,
    int priority,
    boolean guaranteed,
    PlanView.Usefulness usefulness,
    long waitedMillis,
    int tasks,
    boolean gang,
    List<StepId> stepsBefore,
    int pendingSteps,
    Map<Integer, WorkerId> starts,
    Map<WorkerId, Integer> claims,
    List<Stop> stops,
    List<StepTrace.RackFit> racks,
    long waitMillis,
    boolean urgentReserveKept,
    boolean isolationAwaited) {
  /** Copies the collections. */
  public PlacementExplanation {
    stepsBefore = List.copyOf(stepsBefore);
    starts = Collections.unmodifiableMap(new TreeMap<>(starts));
    claims = Collections.unmodifiableMap(new TreeMap<>(claims));
    stops = List.copyOf(stops);
    racks = List.copyOf(racks);
  }

  /** What a pass decides for a step. */
  public enum Outcome {
    /** All waiting tasks start now. */
    STARTS,
    /** Some of the waiting tasks start now; the others wait. */
    STARTS_PARTLY,
    /** Runs are stopped, and their capacity is claimed for the step. */
    STOPS_RUNS,
    /** The step has claimed capacity that earlier stops are about to free. */
    AWAITS_STOPS,
    /** The step waits for capacity. */
    WAITS,
    /** The step would not fit even if all workers that accept new work were empty. */
    FITS_NOWHERE
  }

  /**
   * A run that would be stopped.
   *
   * @param task its task
   * @param run number of the run
   * @param worker the worker that runs it
   * @param wholeGang whether all members of the task's gang end with it
   */
  public record Stop(TaskId task, int run, WorkerId worker, boolean wholeGang) {}
}
