package org.peridotroute.scheduler.plan;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.TaskId;

/**
 * Immutable state that a scheduling pass decides on.
 *
 * @param nowMillis steady time
 * @param workers the workers that accept new work
 * @param pendingSteps steps with waiting tasks whose dependencies are done
 * @param runningTasks running tasks that may be preempted
 * @param urgentReserve accelerators to keep available without loss for urgent work expected soon
 * @param claims capacity that earlier passes are freeing for pending steps
 * @param organisations guarantee and use of each organisation with pending or running tasks, by
 *     name
 * @param stopLimits what preemption may do in this pass
 */
public record PlanView(
    long nowMillis,
    List<WorkerView> workers,
    List<PendingStep> pendingSteps,
    List<RunningTask> runningTasks,
    long urgentReserve,
    List<CapacityClaim> claims,
    Map<String, OrganisationShare> organisations,
    StopLimits stopLimits) {
  /** Copies the collections. */
  public PlanView {
    workers = List.copyOf(workers);
    pendingSteps = List.copyOf(pendingSteps);
    runningTasks = List.copyOf(runningTasks);
    claims = List.copyOf(claims);
    organisations = Map.copyOf(organisations);
  }

  /** Creates a view without organisations. */
  public PlanView(
      long nowMillis,
      List<WorkerView> workers,
      List<PendingStep> pendingSteps,
      List<RunningTask> runningTasks,
      long urgentReserve,
      List<CapacityClaim> claims) {
    this(nowMillis, workers, pendingSteps, runningTasks, urgentReserve, claims, Map.of());
  }

  /** Creates a view without limits on preemption. */
  public PlanView(
      long nowMillis,
      List<WorkerView> workers,
      List<PendingStep> pendingSteps,
      List<RunningTask> runningTasks,
      long urgentReserve,
      List<CapacityClaim> claims,
      Map<String, OrganisationShare> organisations) {
    this(
        nowMillis,
        workers,
        pendingSteps,
        runningTasks,
        urgentReserve,
        claims,
        organisations,
        StopLimits.NONE);
  }

  /**
   * What an organisation is guaranteed and what it uses.
   *
   * @param guaranteedAccelerators accelerators guaranteed to it
   * @param acceleratorsInUse accelerators that its tasks hold
   */
  public record OrganisationShare(long guaranteedAccelerators, long acceleratorsInUse) {
    /** No guarantee and no use. */
    public static final OrganisationShare NONE = new OrganisationShare(0, 0);
  }

  /**
   * The job that a pending step belongs to.
   *
   * @param organisation the organisation that submitted it, empty if unknown
   * @param coreSeconds core-seconds that all its tasks are expected to use, with accelerators at
   *     their price in cores
   */
  public record JobView(String organisation, double coreSeconds) {
    /** A job of an unknown organisation and size. */
    public static final JobView UNKNOWN = new JobView("", 0);
  }

  /**
   * Limits on preemption.
   *
   * @param permitted whether runs may be stopped at all
   * @param maxClaimedTasks number of tasks that may wait for capacity that is being freed for them
   */
  public record StopLimits(boolean permitted, long maxClaimedTasks) {
    /** No limits. */
    public static final StopLimits NONE = new StopLimits(true, Long.MAX_VALUE);
  }

  /**
   * A worker that accepts new work.
   *
   * @param id the worker
   * @param service its service
   * @param rack its rack
   * @param labels its labels
   * @param capacity its total capacity
   * @param free capacity that no task holds
   * @param freeAfterStops free capacity once all pending stops have ended
   * @param tasksByStep number of tasks that it holds, by step
   * @param preemptibleAccelerators accelerators held by less urgent tasks that save checkpoints, so
   *     that preempting them loses no work
   * @param consecutiveFailures failed runs and refused starts since the last success
   * @param isolatedFor job that has the worker to itself for now, null if there is none
   * @param slowdown factor by which tasks take longer on its rack than on the median rack
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
      long preemptibleAccelerators,
      int consecutiveFailures,
      JobId isolatedFor,
      double slowdown) {
    /** Copies the collections. */
    public WorkerView {
      labels = Set.copyOf(labels);
      tasksByStep = Map.copyOf(tasksByStep);
    }
  }

  /**
   * Waiting tasks under which workers have crashed. They are placed on workers without other jobs,
   * so that a further crash harms nobody else and shows which task is at fault.
   *
   * @param tasks indexes of the tasks
   * @param isolateUntilMillis steady time until which they wait for such a worker
   */
  public record Suspects(Set<Integer> tasks, long isolateUntilMillis) {
    /** No suspects. */
    public static final Suspects NONE = new Suspects(Set.of(), 0);

    /** Copies the set. */
    public Suspects {
      tasks = Set.copyOf(tasks);
    }
  }

  /** How useful a completion still is to the caller, in descending order. */
  public enum Usefulness {
    /** The job can still meet its objective. */
    ON_TIME,
    /** The job will miss its objective but is still of some use. */
    LATE,
    /** The job will complete after its expiry, when its caller no longer waits for it. */
    NONE
  }

  /**
   * Waiting tasks of one step. All members of a gang wait together.
   *
   * @param step the step
   * @param spec its declaration
   * @param service service whose workers may run it
   * @param tasks indexes of the waiting tasks
   * @param priority priority of the job, 0 for the most urgent
   * @param guaranteed whether the guarantee of its organisation covers it
   * @param waitingSinceMillis steady time at which the job was accepted, or its occurrence came due
   * @param objectiveMillis steady time by which the job should complete
   * @param expiryMillis steady time after which the completion is of no use to the caller
   * @param durationMillis expected duration of a task
   * @param remainingMillis expected time from the start of this step to the end of the job
   * @param excludedWorkers workers on which tasks of the step have failed
   * @param suspects the waiting tasks under which workers have crashed
   * @param job the job that the step belongs to
   */
  public record PendingStep(
      StepId step,
      StepSpec spec,
      String service,
      List<Integer> tasks,
      int priority,
      boolean guaranteed,
      long waitingSinceMillis,
      long objectiveMillis,
      long expiryMillis,
      long durationMillis,
      long remainingMillis,
      Set<WorkerId> excludedWorkers,
      Suspects suspects,
      JobView job) {
    /** Copies the collections. */
    public PendingStep {
      tasks = List.copyOf(tasks);
      excludedWorkers = Set.copyOf(excludedWorkers);
    }

    /** Creates a step of a job of unknown organisation and size. */
    public PendingStep(
        StepId step,
        StepSpec spec,
        String service,
        List<Integer> tasks,
        int priority,
        boolean guaranteed,
        long waitingSinceMillis,
        long objectiveMillis,
        long expiryMillis,
        long durationMillis,
        long remainingMillis,
        Set<WorkerId> excludedWorkers,
        Suspects suspects) {
      this(
          step,
          spec,
          service,
          tasks,
          priority,
          guaranteed,
          waitingSinceMillis,
          objectiveMillis,
          expiryMillis,
          durationMillis,
          remainingMillis,
          excludedWorkers,
          suspects,
          JobView.UNKNOWN);
    }

    /**
     * Returns how useful the completion of the job is if the step starts at the given time.
     *
     * @param startMillis steady time
     */
    public Usefulness usefulness(long startMillis) {
      long endMillis = startMillis + remainingMillis;
      if (endMillis <= objectiveMillis) {
        return Usefulness.ON_TIME;
      }
      return endMillis <= expiryMillis ? Usefulness.LATE : Usefulness.NONE;
    }

    /**
     * Returns whether the completion of the job is of no use if the step starts at the given time.
     *
     * @param startMillis steady time
     */
    public boolean isExpired(long startMillis) {
      return usefulness(startMillis) == Usefulness.NONE;
    }

    /**
     * Returns the accelerator time, in milliseconds, that the waiting tasks are expected to use.
     */
    public long acceleratorMillis() {
      return tasks.size() * Math.max(1, spec.reserved().accelerators()) * durationMillis;
    }

    /** Returns whether the tasks may be preempted by urgent work without losing work. */
    public boolean isPreemptibleWithoutLoss() {
      return priority > 0 && spec.checkpoints();
    }
  }

  /**
   * A running task that may be preempted.
   *
   * @param task the task
   * @param run number of its run
   * @param worker the worker that runs it
   * @param held capacity that it holds
   * @param priority priority of its job, 0 for the most urgent
   * @param guaranteed whether the guarantee of its organisation covers it
   * @param gang whether the whole step ends with it
   * @param unsavedMillis run time that a stop would lose
   * @param remainingMillis expected time until it ends
   * @param stops how often preemption has stopped the task during this term
   * @param usefulness how useful the completion of its job will be if it runs on
   * @param usefulnessIfStopped how useful the completion of its job will be if it is stopped now
   */
  public record RunningTask(
      TaskId task,
      int run,
      WorkerId worker,
      Capacity held,
      int priority,
      boolean guaranteed,
      boolean gang,
      long unsavedMillis,
      long remainingMillis,
      int stops,
      Usefulness usefulness,
      Usefulness usefulnessIfStopped) {
    /** Creates a task without history whose job a stop makes no less useful. */
    public RunningTask(
        TaskId task,
        int run,
        WorkerId worker,
        Capacity held,
        int priority,
        boolean guaranteed,
        boolean gang,
        long unsavedMillis,
        long remainingMillis) {
      this(
          task,
          run,
          worker,
          held,
          priority,
          guaranteed,
          gang,
          unsavedMillis,
          remainingMillis,
          0,
          Usefulness.NONE,
          Usefulness.NONE);
    }
  }
}
