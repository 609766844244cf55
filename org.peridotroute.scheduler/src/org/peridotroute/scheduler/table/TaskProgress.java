package org.peridotroute.scheduler.table;

import java.util.HashSet;
import java.util.Set;
import org.peridotroute.lib.WorkerId;

/** Progress of one task. Mutable; belongs to the control thread. */
public final class TaskProgress {
  /** State of a task. */
  public enum State {
    /** Waits for room or for earlier steps. */
    WAITING,
    /** Assigned to a worker: runs there, is about to, or may still begin there. */
    ASSIGNED,
    /** Has succeeded. */
    DONE
  }

  private State state = State.WAITING;
  private int run;
  private int failures;
  private WorkerId worker;
  private String checkpoint = "";
  private final Set<WorkerId> failedOn = new HashSet<>();

  /** Returns the state. */
  public State state() {
    return state;
  }

  /** Returns the number of the last run, 0 before the first. */
  public int run() {
    return run;
  }

  /** Returns how many runs failed. */
  public int failures() {
    return failures;
  }

  /** Returns the worker of the present run, null unless assigned. */
  public WorkerId worker() {
    return worker;
  }

  /** Returns the saved progress to resume from, empty for none. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns workers on which the task failed, as far as this process has seen. */
  public Set<WorkerId> failedOn() {
    return failedOn;
  }

  /**
   * Returns whether a run is the present one.
   *
   * @param candidate number of a run
   * @param on its worker
   * @return whether the task is assigned with this run to this worker
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

  void updateCheckpoint(String value) {
    if (!value.isEmpty()) {
      checkpoint = value;
    }
  }

  void restore(State as, int lastRun, int failed, WorkerId on, String saved) {
    state = as;
    run = lastRun;
    failures = failed;
    worker = on;
    checkpoint = saved;
  }
}
