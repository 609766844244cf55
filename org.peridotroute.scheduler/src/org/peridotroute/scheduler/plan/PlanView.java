package org.peridotroute.scheduler.plan;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.TaskId;

/**
 * What a pass decides on. Immutable.
 *
 * @param nowMillis steady time
 * @param workers the workers that take new work
 * @param waiting what waits and whose turn has come
 * @param running what runs on these workers
 * @param urgentReserve accelerators to keep within reach of urgent work that is yet to come
 */
public record PlanView(
    long nowMillis,
    List<WorkerView> workers,
    List<PendingStep> waiting,
    List<RunningTask> running,
    long urgentReserve) {
  /** Copies the lists. */
  public PlanView {
    workers = List.copyOf(workers);
    waiting = List.copyOf(waiting);
    running = List.copyOf(running);
  }

  /**
   * A worker that takes new work.
   *
   * @param id the worker
   * @param service its service
   * @param rack its rack
   * @param labels its labels
   * @param capacity its whole room
   * @param free room that nothing holds
   * @param freeAfterStops room once everything that is being stopped has ended
   * @param tasksByStep tasks of each step that it holds
   * @param yielding accelerators held by less urgent work that saves its progress, so that taking
   *     them back throws nothing away
   * @param doubt evidence that it fails or stalls what it is given; 0 for none
   * @param slowness how much longer than on the usual rack tasks take there; 1 for the usual
   */
  public record WorkerView(
      WorkerId id,
      String service,
      String rack,
      Set<String> labels,
      Capacity capacity,
      Capacity free,
      Capacity freeAfterStops,
      Map<StepId, Integer> tasksByStep,
      long yielding,
      int doubt,
      double slowness) {
    /** Copies the collections. */
    public WorkerView {
      labels = Set.copyOf(labels);
      tasksByStep = Map.copyOf(tasksByStep);
    }
  }

  /** What a completion is worth to its caller; in falling order. */
  public enum Usefulness {
    /** The job can still meet its objective. */
    ON_TIME,
    /** It can still be of some use. */
    LATE,
    /** Nobody waits for it any more. */
    NONE
  }

  /**
   * Tasks of one step that wait. A gang waits as a whole.
   *
   * @param step the step
   * @param spec its declaration
   * @param service service whose workers may run it
   * @param tasks numbers of the tasks
   * @param priority 0 for the most urgent
   * @param guaranteed whether its organisation's guarantee covers it
   * @param acceptedMillis steady time at which its turn came
   * @param objectiveMillis steady time by which the job should complete
   * @param expiryMillis steady time after which its completion is of no more use to the caller
   * @param durationMillis expected duration of a task
   * @param remainingMillis expected time from the start of this step to the end of the job
   * @param avoid workers on which its tasks have failed
   */
  public record PendingStep(
      StepId step,
      StepSpec spec,
      String service,
      List<Integer> tasks,
      int priority,
      boolean guaranteed,
      long acceptedMillis,
      long objectiveMillis,
      long expiryMillis,
      long durationMillis,
      long remainingMillis,
      Set<WorkerId> avoid) {
    /** Copies the collections. */
    public PendingStep {
      tasks = List.copyOf(tasks);
      avoid = Set.copyOf(avoid);
    }

    /** Returns how useful the job's completion is if the step begins at a time. */
    public Usefulness usefulness(long beginMillis) {
      long end = beginMillis + remainingMillis;
      if (end <= objectiveMillis) {
        return Usefulness.ON_TIME;
      }
      return end <= expiryMillis ? Usefulness.LATE : Usefulness.NONE;
    }

    /** Returns the accelerator time that the waiting tasks are expected to take. */
    public long acceleratorMillis() {
      return tasks.size() * Math.max(1, spec.reserved().accelerators()) * durationMillis;
    }

    /** Returns whether the tasks may be stopped for urgent work without throwing anything away. */
    public boolean yields() {
      return priority > 0 && spec.checkpoints();
    }
  }

  /**
   * A task that runs and may be stopped to make room.
   *
   * @param task the task
   * @param run its run
   * @param worker its worker
   * @param held room that it holds
   * @param priority 0 for the most urgent
   * @param gang whether its whole step ends with it
   * @param unsavedMillis work that a stop would throw away
   */
  public record RunningTask(
      TaskId task,
      int run,
      WorkerId worker,
      Capacity held,
      int priority,
      boolean gang,
      long unsavedMillis) {}
}
