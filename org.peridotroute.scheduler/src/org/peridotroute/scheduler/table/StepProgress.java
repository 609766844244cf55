package org.peridotroute.scheduler.table;

import java.util.ArrayList;
import java.util.List;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;

/** Progress of one step of one occurrence. Mutable; confined to the control thread. */
public final class StepProgress {
  private final StepId id;
  private final StepSpec spec;
  private final List<TaskProgress> tasks;
  private int lastFailedRun;

  StepProgress(StepId id, StepSpec spec) {
    this.id = id;
    this.spec = spec;
    List<TaskProgress> created = new ArrayList<>(spec.count());
    for (int i = 0; i < spec.count(); i++) {
      created.add(new TaskProgress());
    }
    tasks = List.copyOf(created);
  }

  /** Returns the identity of the step. */
  public StepId id() {
    return id;
  }

  /** Returns the declaration of the step. */
  public StepSpec spec() {
    return spec;
  }

  /** Returns the tasks, indexed by their number. */
  public List<TaskProgress> tasks() {
    return tasks;
  }

  /** Returns whether all tasks have succeeded. */
  public boolean isDone() {
    return tasks.stream().allMatch(task -> task.state() == TaskProgress.State.DONE);
  }

  /** Returns whether all tasks are waiting; a gang may start only then. */
  public boolean isIdle() {
    return tasks.stream().allMatch(task -> task.state() == TaskProgress.State.WAITING);
  }

  /**
   * Returns whether all tasks are assigned with the same run, as the members of a running gang must
   * be.
   */
  public boolean isFullyAssigned() {
    return tasks.stream()
        .allMatch(task -> task.state() == TaskProgress.State.ASSIGNED && task.run() == lastRun());
  }

  /** Returns the highest run number of any task, 0 before the first run. */
  public int lastRun() {
    return tasks.stream().mapToInt(TaskProgress::run).max().orElse(0);
  }

  /**
   * Counts a failed run. A run of a gang is counted once, however many members fail.
   *
   * @param task the task that failed
   * @param on worker that it failed on
   */
  void recordFailure(TaskProgress task, WorkerId on) {
    if (spec.gang() && lastFailedRun == task.run()) {
      return;
    }
    lastFailedRun = task.run();
    task.recordFailure(on);
  }
}
