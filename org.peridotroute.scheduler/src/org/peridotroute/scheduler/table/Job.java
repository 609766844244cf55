package org.peridotroute.scheduler.table;

import java.util.Collection;
import java.util.Optional;
import java.util.TreeMap;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;

/**
 * A job with its progress, as the planner works on it. What changes here takes effect outside only
 * once it is on the log. Mutable; belongs to the control thread.
 */
public final class Job {
  private final Submission submission;
  private final TreeMap<Integer, Occurrence> openOccurrences = new TreeMap<>();
  private JobPhase phase = JobPhase.PENDING;
  private int nextOccurrence;

  /**
   * Creates a job that has not begun.
   *
   * @param submission what was accepted
   */
  public Job(Submission submission) {
    this.submission = submission;
  }

  /** Returns what was accepted. */
  public Submission submission() {
    return submission;
  }

  /** Returns the phase. */
  public JobPhase phase() {
    return phase;
  }

  /** Returns the occurrences that are due and not done. */
  public Collection<Occurrence> openOccurrences() {
    return openOccurrences.values();
  }

  /** Returns the number of the occurrence that comes due next. */
  public int nextOccurrence() {
    return nextOccurrence;
  }

  /**
   * Opens the occurrences that are due.
   *
   * @param wallMillis time of day, milliseconds since 1970
   * @return whether any was opened
   */
  public boolean openDueOccurrences(long wallMillis) {
    boolean opened = false;
    while (!phase.isEnded()
        && nextOccurrence < submission.request().schedule().occurrences()
        && submission.request().schedule().dueMillis(nextOccurrence) <= wallMillis) {
      openOccurrences.put(nextOccurrence, new Occurrence(submission, nextOccurrence));
      nextOccurrence++;
      opened = true;
    }
    return opened;
  }

  /**
   * Finds a step.
   *
   * @param task a task of it
   * @return the step, or empty if its occurrence is not openOccurrences or there is no such task
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
   * @param run number of the run; greater than any before
   * @param worker the worker
   */
  public void assign(TaskId task, int run, WorkerId worker) {
    StepProgress step = step(task).orElseThrow(() -> new IllegalStateException("no task " + task));
    TaskProgress progress = step.tasks().get(task.index());
    if (progress.state() != TaskProgress.State.WAITING || run <= progress.run()) {
      throw new IllegalStateException("task " + task + " cannot be given run " + run);
    }
    progress.assign(run, worker);
    phase = phase == JobPhase.PENDING ? JobPhase.RUNNING : phase;
  }

  /**
   * Takes the end of a run in.
   *
   * @param task the task
   * @param run the run
   * @param worker where it ran
   * @param end how it ended
   * @param checkpoint its saved progress, empty for none
   * @return whether it was the present run, so that the job has changed
   */
  public boolean endRun(TaskId task, int run, WorkerId worker, RunEnd end, String checkpoint) {
    Optional<StepProgress> found = step(task);
    if (found.isEmpty() || !found.get().tasks().get(task.index()).isAssigned(run, worker)) {
      return false;
    }
    StepProgress step = found.get();
    TaskProgress progress = step.tasks().get(task.index());
    if (end == RunEnd.DONE) {
      finish(step, progress);
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
    if (!step.spec().service() && hasFailed(step, progress) && !phase.isEnded()) {
      phase = JobPhase.FAILED;
    }
    return true;
  }

  private void finish(StepProgress step, TaskProgress progress) {
    if (step.spec().gang()) {
      step.tasks().forEach(TaskProgress::markDone);
    } else if (step.spec().service()) {
      progress.markWaiting();
    } else {
      progress.markDone();
    }
    openOccurrences.values().removeIf(Occurrence::isDone);
    boolean all =
        openOccurrences.isEmpty()
            && nextOccurrence >= submission.request().schedule().occurrences();
    if (all && !phase.isEnded()) {
      phase = JobPhase.COMPLETED;
    }
  }

  private boolean hasFailed(StepProgress step, TaskProgress progress) {
    int failures =
        step.spec().gang()
            ? step.tasks().stream().mapToInt(TaskProgress::failures).sum()
            : progress.failures();
    return failures >= submission.terms().maxAttempts();
  }

  /** All members of a gang resume from the same progress: that of whichever member saved last. */
  private static void shareCheckpoint(StepProgress step, String checkpoint) {
    step.tasks().forEach(member -> member.updateCheckpoint(checkpoint));
  }

  /** Ends the job at its caller's wish. Does nothing to a job that is over. */
  public void cancel() {
    if (!phase.isEnded()) {
      phase = JobPhase.CANCELLED;
    }
  }

  void restore(JobPhase as, int next) {
    phase = as;
    nextOccurrence = next;
  }

  Occurrence restoreOccurrence(int number) {
    Occurrence occurrence = new Occurrence(submission, number);
    openOccurrences.put(number, occurrence);
    return occurrence;
  }
}
