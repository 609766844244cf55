package org.peridotroute.scheduler.table;

import java.util.ArrayList;
import java.util.List;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;

/** Progress of one step of one occurrence. Mutable; belongs to the control thread. */
public final class StepProgress {
  private final StepId id;
  private final StepSpec spec;
  private final List<TaskProgress> tasks;
  private int lastFailedRun;

  StepProgress(StepId id, StepSpec spec) {
    this.id = id;
    this.spec = spec;
    List<TaskProgress> made = new ArrayList<>(spec.count());
    for (int i = 0; i < spec.count(); i++) {
      made.add(new TaskProgress());
    }
    tasks = List.copyOf(made);
  }

  /** Returns the step's identity. */
  public StepId id() {
    return id;
  }

  /** Returns the step's declaration. */
  public StepSpec spec() {
    return spec;
  }

  /** Returns the tasks by number. */
  public List<TaskProgress> tasks() {
    return tasks;
  }

  /** Returns whether all tasks have succeeded. */
  public boolean isDone() {
    return tasks.stream().allMatch(task -> task.state() == TaskProgress.State.DONE);
  }

  /** Returns whether no task is assigned and not all are done: a gang may start only then. */
  public boolean isIdle() {
    return tasks.stream().allMatch(task -> task.state() == TaskProgress.State.WAITING);
  }

  /** Returns whether all tasks are assigned with one run, as a gang's must be while it runs. */
  public boolean isFullyAssigned() {
    return tasks.stream()
        .allMatch(task -> task.state() == TaskProgress.State.ASSIGNED && task.run() == lastRun());
  }

  /** Returns the greatest run that any task had. */
  public int lastRun() {
    return tasks.stream().mapToInt(TaskProgress::run).max().orElse(0);
  }

  /**
   * Counts a failed run. A gang's run counts once, whichever of its members failed.
   *
   * @param task the task that failed
   * @param on its worker
   */
  void recordFailure(TaskProgress task, WorkerId on) {
    if (spec.gang() && lastFailedRun == task.run()) {
      return;
    }
    lastFailedRun = task.run();
    task.recordFailure(on);
  }
}
