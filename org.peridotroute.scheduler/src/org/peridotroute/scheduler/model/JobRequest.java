package org.peridotroute.scheduler.model;

import java.util.List;
import org.peridotroute.lib.Checks;

/**
 * Declaration of a job by its caller.
 *
 * @param payload passed unchanged to every task; at most {@value #MAX_PAYLOAD_BYTES} bytes
 * @param steps steps of the job, 1 to {@value #MAX_STEPS}, with at most {@value #MAX_TASKS} tasks
 *     together
 * @param schedule times at which the job runs
 */
public record JobRequest(String payload, List<StepSpec> steps, Schedule schedule) {
  /** Maximum size of a payload in UTF-8 bytes, as set by the users' interface. */
  public static final int MAX_PAYLOAD_BYTES = 4_000;

  /** Maximum number of steps; limits the memory that one job takes on a VM. */
  public static final int MAX_STEPS = 100;

  /**
   * Maximum number of tasks of an occurrence, so that the progress of a job fits into one record of
   * the log: about 25 bytes for a task, besides the names of the workers.
   */
  public static final int MAX_TASKS = 6_000;

  /**
   * Checks the ranges, and that each step depends only on earlier ones. Records on the log omit
   * empty values, so an absent payload is an empty one.
   */
  public JobRequest {
    payload = payload == null ? "" : payload;
    schedule = schedule == null ? Schedule.ONCE : schedule;
    Checks.maxBytes("job.payload", payload, MAX_PAYLOAD_BYTES);
    Checks.range("job.steps.length", Checks.present("job.steps", steps).size(), 1, MAX_STEPS);
    steps = List.copyOf(steps);
    for (int i = 0; i < steps.size(); i++) {
      steps.get(i).checkAfter(i);
    }
    Checks.range("job.tasks", taskCount(steps), 1, MAX_TASKS);
  }

  private static int taskCount(List<StepSpec> steps) {
    return steps.stream().mapToInt(StepSpec::count).sum();
  }

  /** Returns the number of tasks of one occurrence. */
  public int taskCount() {
    return taskCount(steps);
  }

  /** Returns whether any step is a service, which runs until the job is cancelled. */
  public boolean hasService() {
    return steps.stream().anyMatch(StepSpec::service);
  }
}
