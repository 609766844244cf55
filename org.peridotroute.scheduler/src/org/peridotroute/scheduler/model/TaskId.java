package org.peridotroute.scheduler.model;

import java.util.Optional;

/**
 * Identity of a task.
 *
 * @param step step that the task belongs to
 * @param index number of the task in the step, from 0
 */
public record TaskId(StepId step, int index) {
  private static final int PARTS = 4;

  /** Returns the job that the task belongs to. */
  public JobId job() {
    return step.job();
  }

  /**
   * Parses the format that {@link #toString} returns.
   *
   * @param text the text
   * @return the identity, or empty if the text has another format
   */
  public static Optional<TaskId> parse(String text) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != PARTS || !JobId.isValid(parts[0])) {
      return Optional.empty();
    }
    try {
      int occurrence = Integer.parseInt(parts[1]);
      int step = Integer.parseInt(parts[2]);
      int index = Integer.parseInt(parts[3]);
      if (occurrence < 0 || step < 0 || index < 0) {
        return Optional.empty();
      }
      return Optional.of(new TaskId(new StepId(new JobId(parts[0]), occurrence, step), index));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  // Key of maps: the methods that the compiler generates for records are linked at their first
  // call,
  // which takes some milliseconds of a process's start for each record.
  @Override
  public boolean equals(Object object) {
    return object instanceof TaskId other && index == other.index && step.equals(other.step);
  }

  @Override
  public int hashCode() {
    return 31 * step.hashCode() + index;
  }

  @Override
  public String toString() {
    return step + "." + index;
  }
}
