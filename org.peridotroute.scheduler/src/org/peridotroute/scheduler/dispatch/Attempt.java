package org.peridotroute.scheduler.dispatch;

import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;

/** One run of a task on a worker, with its state as known to the planner. */
final class Attempt {
  /**
   * Identity of a run.
   *
   * @param task the task
   * @param run number of the run
   */
  record Key(TaskId task, int run) {
    // Key of maps: the methods that the compiler generates for records are linked at their first
    // call,
    // which takes some milliseconds of a process's start for each record.
    @Override
    public boolean equals(Object object) {
      return object instanceof Key other && run == other.run && task.equals(other.task);
    }

    @Override
    public int hashCode() {
      return 31 * task.hashCode() + run;
    }
  }

  /** State of a run. */
  enum State {
    /** The assignment is not on the log yet; no start was sent. */
    PLANNED,
    /** The start call is in flight. */
    SENT,
    /**
     * The start call got no reply, or an earlier planner sent it: the run may start now or later.
     */
    UNCERTAIN,
    /** The worker has confirmed the start. */
    RUNNING
  }

  private static final int COMPLETE_PERCENT = 100;
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /** Expected remaining time of a run that should have ended already. */
  private static final long MIN_REMAINING_MILLIS = 200;

  private final Key key;
  private final Capacity held;
  private final boolean current;
  private final boolean startedHere;
  private State state;
  private boolean stopRequested;
  private boolean unwanted;
  private long stopRequestedMillis;
  private StepId beneficiary;
  private boolean moved;
  private boolean stopInFlight;
  private boolean ended;
  private long settledSequence = Long.MAX_VALUE;
  private long sentMillis;
  private CrashEvidence crash;
  private long probationMillis;
  private long stateSinceMillis;
  private long retryStopMillis;
  private int percent;
  private long progressChangedMillis;
  private long progressSeenMillis;
  private String checkpoint = "";
  private long checkpointMillis;

  Attempt(Key key, Capacity held, State state, boolean current, long nowMillis) {
    this.key = key;
    this.held = held;
    this.state = state;
    this.current = current;
    startedHere = state == State.PLANNED;
    sentMillis = nowMillis;
    stateSinceMillis = nowMillis;
    checkpointMillis = nowMillis;
    progressChangedMillis = nowMillis;
    progressSeenMillis = nowMillis;
  }

  Key key() {
    return key;
  }

  Capacity held() {
    return held;
  }

  State state() {
    return state;
  }

  /** Returns whether this is the current run of its task according to the progress of its job. */
  boolean isCurrent() {
    return current;
  }

  /** Returns whether this planner, not an earlier one, has planned the run. */
  boolean isStartedHere() {
    return startedHere;
  }

  void moveTo(State next, long nowMillis) {
    state = next;
    stateSinceMillis = nowMillis;
    if (next == State.SENT) {
      sentMillis = nowMillis;
    }
  }

  /**
   * Returns the steady time at which the start was sent or, for a run that an earlier planner
   * started, at which this planner learnt of it.
   */
  long sentMillis() {
    return sentMillis;
  }

  /**
   * Keeps other jobs off the worker until the run has lived for a while, because workers crashed
   * under earlier runs of the task.
   *
   * @param millis the time, 0 if the task is not suspect
   */
  void setProbationMillis(long millis) {
    probationMillis = millis;
  }

  /** Returns whether workers crashed under earlier runs of the task. */
  boolean isSuspect() {
    return probationMillis > 0;
  }

  /** Returns whether the run must have its worker to itself for now. */
  boolean isOnProbation(long nowMillis) {
    return isSuspect()
        && (state != State.RUNNING || nowMillis - stateSinceMillis <= probationMillis);
  }

  /** Records that the worker has crashed with this run. */
  void markCrashed(CrashEvidence evidence) {
    crash = evidence;
  }

  /** Records that the run is known to have begun after the crash of the worker. */
  void clearCrash() {
    crash = null;
  }

  /** Returns the circumstances of the crash that ended this run, null if the worker lives. */
  CrashEvidence crash() {
    return crash;
  }

  long stateSinceMillis() {
    return stateSinceMillis;
  }

  /** Returns how the run ends if its worker no longer has it and has not reported its end. */
  RunEnd endIfLost() {
    return crash == null ? RunEnd.LAPSED : RunEnd.CRASHED;
  }

  boolean isStopRequested() {
    return stopRequested;
  }

  void requestStop(long nowMillis) {
    if (!stopRequested) {
      stopRequested = true;
      stopRequestedMillis = nowMillis;
    }
  }

  /** Returns whether the run should not go on, as of the last review. */
  boolean isUnwanted() {
    return unwanted;
  }

  /** Sets whether the run should not go on. */
  void setUnwanted(boolean value) {
    unwanted = value;
  }

  /** Records for which step the run is stopped. */
  void markPreempted(StepId step) {
    beneficiary = step;
  }

  /** Returns the step for which the run is stopped, null if preemption does not stop it. */
  StepId beneficiary() {
    return beneficiary;
  }

  /** Records that the run is stopped because its worker leaves. */
  void markMoved() {
    moved = true;
  }

  /** Returns whether the run is stopped because its worker leaves. */
  boolean isMoved() {
    return moved;
  }

  /**
   * Returns whether a stop was requested and may still be expected to end the run in time.
   *
   * @param maxStopMillis time within which a stop should have ended
   */
  boolean isStopping(long nowMillis, long maxStopMillis) {
    return stopRequested && nowMillis - stopRequestedMillis <= maxStopMillis;
  }

  boolean isStopCallDue(long nowMillis) {
    return stopRequested
        && !stopInFlight
        && !ended
        && state != State.PLANNED
        && nowMillis >= retryStopMillis;
  }

  void onStopSent() {
    stopInFlight = true;
  }

  void onStopReturned(long retryAtMillis) {
    stopInFlight = false;
    retryStopMillis = retryAtMillis;
  }

  /**
   * Sets the sequence number after which a poll without this run proves that it has ended. An
   * earlier number that is already set stays.
   */
  void markSettled(long sequence) {
    settledSequence = Math.min(settledSequence, sequence);
  }

  boolean isEndedIfAbsentFromPoll(long pollSequence) {
    return pollSequence > settledSequence;
  }

  boolean isEnded() {
    return ended;
  }

  void markEnded() {
    ended = true;
  }

  int percent() {
    return percent;
  }

  long progressChangedMillis() {
    return progressChangedMillis;
  }

  /** Returns the steady time at which the worker last reported the progress. */
  long progressSeenMillis() {
    return progressSeenMillis;
  }

  void onProgress(int nextPercent, String nextCheckpoint, long nowMillis) {
    progressSeenMillis = nowMillis;
    if (nextPercent != percent) {
      percent = nextPercent;
      progressChangedMillis = nowMillis;
    }
    if (!nextCheckpoint.equals(checkpoint)) {
      checkpoint = nextCheckpoint;
      checkpointMillis = nowMillis;
    }
  }

  /**
   * Returns the expected time until the run ends, from its progress if the worker has reported any.
   *
   * @param expectedMillis expected duration of a whole run
   */
  long remainingMillis(long expectedMillis, long nowMillis) {
    long remainingMillis =
        percent > 0
            ? expectedMillis * (COMPLETE_PERCENT - percent) / COMPLETE_PERCENT
                - (nowMillis - progressChangedMillis)
            : expectedMillis - (nowMillis - stateSinceMillis);
    return Math.max(MIN_REMAINING_MILLIS, remainingMillis);
  }

  /**
   * Returns the work that the end of the run loses, in core-seconds: what it has done since its
   * last checkpoint, or since this planner learnt of it.
   *
   * @param lastCheckpoint checkpoint reported with the end, empty for none
   */
  double lostCoreSeconds(String lastCheckpoint, long nowMillis) {
    boolean saved = !lastCheckpoint.isEmpty() && !lastCheckpoint.equals(checkpoint);
    if (saved || state != State.RUNNING) {
      return 0;
    }
    long sinceMillis = Math.max(checkpointMillis, stateSinceMillis);
    return held.pricedCores() * Math.max(0, nowMillis - sinceMillis) / MILLIS_PER_SECOND;
  }

  /** Returns the run time that a stop would lose; 0 if the step saves checkpoints. */
  long unsavedMillis(boolean checkpoints, long nowMillis) {
    if (checkpoints) {
      return 0;
    }
    return nowMillis - Math.min(checkpointMillis, nowMillis);
  }
}
