package org.peridotroute.scheduler.table;

import java.util.Collection;
import java.util.Optional;
import java.util.TreeMap;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;

/**
 * A job and its progress at the planner. The planner acts on a change, and reports it to callers,
 * only after the change is stored on the log. Mutable; confined to the control thread.
 */
public final class Job {
  private final Submission submission;
  private final TreeMap<Integer, Occurrence> openOccurrences = new TreeMap<>();
  private JobPhase phase = JobPhase.PENDING;
  private int nextOccurrence;

  /**
   * Creates a pending job.
   *
   * @param submission the accepted job
   */
  public Job(Submission submission) {
    this.submission = submission;
  }

  /** Returns the submission. */
  public Submission submission() {
    return submission;
  }

  /** Returns the phase of the job. */
  public JobPhase phase() {
    return phase;
  }

  /** Returns the open occurrences, which are due and not done, by number. */
  public Collection<Occurrence> openOccurrences() {
    return openOccurrences.values();
  }

  /** Returns the number of the next occurrence to open. */
  public int nextOccurrence() {
    return nextOccurrence;
  }

  /**
   * Opens the occurrences that are due, as many as the progress has room for. Does nothing if the
   * job has ended.
   *
   * @param wallMillis wall-clock time, in milliseconds since 1970
   * @return whether any occurrence was opened
   */
  public boolean openDueOccurrences(long wallMillis) {
    boolean opened = false;
    int maxOpen = JobRequest.MAX_TASKS / submission.request().taskCount();
    while (!phase.isEnded()
        && openOccurrences.size() < maxOpen
        && nextOccurrence < submission.request().schedule().occurrences()
        && submission.request().schedule().dueMillis(nextOccurrence) <= wallMillis) {
      openOccurrences.put(nextOccurrence, new Occurrence(submission, nextOccurrence));
      nextOccurrence++;
      opened = true;
    }
    return opened;
  }

  /**
   * Finds the step of a task.
   *
   * @param task the task
   * @return the step, or empty if its occurrence is not open or the task does not exist
   */
  public Optional<StepProgress> step(TaskId task) {
    Occurrence occurrence = openOccurrences.get(task.step().occurrence());
    if (occurrence == null || task.step().step() >= occurrence.steps().size()) {
      return Optional.empty();
    }
    StepProgress step = occurrence.steps().get(task.step().step());
    return task.index() < step.tasks().size() ? Optional.of(step) : Optional.empty();
  }

  /**
   * Assigns a task to a worker.
   *
   * @param task the task
   * @param run number of the run, greater than that of the task's last run
   * @param worker the worker
   */
  public void assign(TaskId task, int run, WorkerId worker) {
    StepProgress step =
        step(task).orElseThrow(() -> new IllegalStateException("no such task: " + task));
    TaskProgress progress = step.tasks().get(task.index());
    if (progress.state() != TaskProgress.State.WAITING || run <= progress.run()) {
      throw new IllegalStateException(
          "cannot assign run "
              + run
              + " to task "
              + task
              + " in state "
              + progress.state()
              + ", last run "
              + progress.run());
    }
    progress.assign(run, worker);
    phase = phase == JobPhase.PENDING ? JobPhase.RUNNING : phase;
  }

  /**
   * Records the end of a run. Does nothing unless it is the task's current run.
   *
   * @param task the task
   * @param run number of the run
   * @param worker worker that ran it
   * @param end how the run ended
   * @param checkpoint last checkpoint of the run, empty for none
   * @return whether it was the current run, so that the job has changed
   */
  public boolean endRun(TaskId task, int run, WorkerId worker, RunEnd end, String checkpoint) {
    Optional<StepProgress> found = stepOfRun(task, run, worker);
    if (found.isEmpty()) {
      return false;
    }
    StepProgress step = found.get();
    TaskProgress progress = step.tasks().get(task.index());
    if (end == RunEnd.DONE) {
      finishRun(step, progress);
      return true;
    }
    progress.updateCheckpoint(checkpoint);
    if (end == RunEnd.FAILED) {
      step.recordFailure(progress, worker);
    }
    progress.markWaiting();
    if (step.spec().gang()) {
      shareCheckpoint(step, progress.checkpoint());
    }
    if (!step.spec().service() && isOutOfAttempts(step, progress) && !phase.isEnded()) {
      phase = JobPhase.FAILED;
    }
    return true;
  }

  /**
   * Records that a worker has crashed under a run. Does nothing unless it is the task's current
   * run.
   *
   * @param task the task
   * @param run number of the run
   * @param worker worker that ran it
   * @param ageMillis time for which the run lived, in milliseconds
   * @param circumstances what else may explain the crash
   * @return whether it was the current run, so that the job has changed
   */
  public boolean crashRun(
      TaskId task,
      int run,
      WorkerId worker,
      long ageMillis,
      CrashHistory.Circumstances circumstances) {
    Optional<StepProgress> found = stepOfRun(task, run, worker);
    if (found.isEmpty()) {
      return false;
    }
    TaskProgress progress = found.get().tasks().get(task.index());
    progress.setCrashHistory(progress.crashHistory().plus(ageMillis, circumstances));
    progress.markWaiting();
    if (progress.crashHistory().isExhausted() && !phase.isEnded()) {
      phase = JobPhase.FAILED;
    }
    return true;
  }

  /** Returns the step of a task if this is the task's current run. */
  private Optional<StepProgress> stepOfRun(TaskId task, int run, WorkerId worker) {
    return step(task).filter(step -> step.tasks().get(task.index()).isAssigned(run, worker));
  }

  private void finishRun(StepProgress step, TaskProgress progress) {
    if (step.spec().gang()) {
      step.tasks().forEach(TaskProgress::markDone);
    } else if (step.spec().service()) {
      progress.markWaiting();
    } else {
      progress.markDone();
    }
    openOccurrences.values().removeIf(Occurrence::isDone);
    boolean allDone =
        openOccurrences.isEmpty()
            && nextOccurrence >= submission.request().schedule().occurrences();
    if (allDone && !phase.isEnded()) {
      phase = JobPhase.COMPLETED;
    }
  }

  private boolean isOutOfAttempts(StepProgress step, TaskProgress progress) {
    int failures =
        step.spec().gang()
            ? step.tasks().stream().mapToInt(TaskProgress::failures).sum()
            : progress.failures();
    return failures >= submission.terms().maxAttempts();
  }

  /**
   * Gives all members of a gang the checkpoint that any member saved last: they must all resume
   * from the same progress.
   */
  private static void shareCheckpoint(StepProgress step, String checkpoint) {
    step.tasks().forEach(member -> member.updateCheckpoint(checkpoint));
  }

  /** Cancels the job. Does nothing if it has ended already. */
  public void cancel() {
    if (!phase.isEnded()) {
      phase = JobPhase.CANCELLED;
    }
  }

  /** Sets the state read from the log. */
  void restore(JobPhase restoredPhase, int restoredNextOccurrence) {
    phase = restoredPhase;
    nextOccurrence = restoredNextOccurrence;
  }

  /** Adds an open occurrence read from the log, without its progress. */
  Occurrence restoreOccurrence(int number) {
    Occurrence occurrence = new Occurrence(submission, number);
    openOccurrences.put(number, occurrence);
    return occurrence;
  }
}
