package org.peridotroute.scheduler.table;

import java.util.HashSet;
import java.util.Set;
import org.peridotroute.lib.WorkerId;

/** Progress of one task. Mutable; confined to the control thread. */
public final class TaskProgress {
  /** State of a task. */
  public enum State {
    /** Waits for capacity or for earlier steps. */
    WAITING,
    /** Assigned to a worker: runs there, is about to start, or may still start there. */
    ASSIGNED,
    /** Succeeded. */
    DONE
  }

  private State state = State.WAITING;
  private int run;
  private int failures;
  private CrashHistory crashHistory = CrashHistory.NONE;
  private WorkerId worker;
  private String checkpoint = "";
  private final Set<WorkerId> failedOn = new HashSet<>();

  /** Returns the state of the task. */
  public State state() {
    return state;
  }

  /** Returns the number of the last run, 0 before the first. */
  public int run() {
    return run;
  }

  /** Returns the number of failed runs. */
  public int failures() {
    return failures;
  }

  /** Returns the crashes of workers under the task. */
  public CrashHistory crashHistory() {
    return crashHistory;
  }

  /** Returns the worker of the current run, null unless assigned. */
  public WorkerId worker() {
    return worker;
  }

  /** Returns the checkpoint to resume from, empty for none. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns the workers on which the task failed since this VM became the planner. */
  public Set<WorkerId> failedOn() {
    return failedOn;
  }

  /**
   * Returns whether a run is the current one.
   *
   * @param candidate number of the run
   * @param on worker of the run
   * @return whether the task is assigned to this worker with this run
   */
  public boolean isAssigned(int candidate, WorkerId on) {
    return state == State.ASSIGNED && run == candidate && on.equals(worker);
  }

  void assign(int nextRun, WorkerId to) {
    state = State.ASSIGNED;
    run = nextRun;
    worker = to;
  }

  void markWaiting() {
    state = State.WAITING;
    worker = null;
  }

  void markDone() {
    state = State.DONE;
    worker = null;
  }

  void recordFailure(WorkerId on) {
    failures++;
    failedOn.add(on);
  }

  void setCrashHistory(CrashHistory history) {
    crashHistory = history;
  }

  /** Sets the checkpoint, unless the new one is empty. */
  void updateCheckpoint(String value) {
    if (!value.isEmpty()) {
      checkpoint = value;
    }
  }

  /** Sets the state read from the log. */
  void restore(
      State restoredState, int lastRun, int failureCount, WorkerId on, String lastCheckpoint) {
    state = restoredState;
    run = lastRun;
    failures = failureCount;
    worker = on;
    checkpoint = lastCheckpoint;
  }
}
