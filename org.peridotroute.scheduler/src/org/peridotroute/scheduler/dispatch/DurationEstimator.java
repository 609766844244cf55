package org.peridotroute.scheduler.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;

/**
 * Estimates task durations. Declared durations are often wrong by a large factor in either
 * direction, so the expected duration is the mean of the queue, shifted towards the declared
 * duration as far as declared durations in this queue have proved accurate.
 */
final class DurationEstimator {
  /** Duration assumed for a task without a declared duration. */
  private static final long DEFAULT_DURATION_MILLIS = 5_000;

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final Map<String, QueueDurations> queues = new HashMap<>();

  /** Adds the durations that a submission declares. */
  void onSubmitted(Submission submission) {
    for (StepSpec step : submission.request().steps()) {
      if (!step.service()) {
        durations(submission).addDeclared(declaredMillis(step));
      }
    }
  }

  /** Adds the duration of a task that ran its whole length near its data. */
  void addObservation(Submission submission, StepSpec step, long tookMillis) {
    if (tookMillis > 0) {
      durations(submission).addObserved(declaredMillis(step), tookMillis);
    }
  }

  /** Returns the expected duration of a task of a step in milliseconds. */
  long taskMillis(Submission submission, StepSpec step) {
    return durations(submission).expectedMillis(declaredMillis(step));
  }

  /**
   * Returns the core-seconds that all tasks of a job are expected to use, with accelerators at
   * their price in cores.
   */
  double coreSeconds(Submission submission) {
    return submission.request().steps().stream()
        .mapToDouble(
            step ->
                step.count()
                    * step.reserved().pricedCores()
                    * taskMillis(submission, step)
                    / MILLIS_PER_SECOND)
        .sum();
  }

  private QueueDurations durations(Submission submission) {
    return queues.computeIfAbsent(submission.queue(), queue -> new QueueDurations());
  }

  private static long declaredMillis(StepSpec step) {
    return step.estimateMillis() > 0 ? step.estimateMillis() : DEFAULT_DURATION_MILLIS;
  }

  /**
   * Returns the time within which a job should complete, counted from when it was accepted or came
   * due.
   */
  long objectiveMillis(Submission submission) {
    long longest = 0;
    for (int i = 0; i < submission.request().steps().size(); i++) {
      longest = Math.max(longest, criticalPathMillis(submission, i));
    }
    Submission.Terms terms = submission.terms();
    return (long) (terms.stretch() * longest) + terms.objectiveMillis();
  }

  /**
   * Returns the expected time from the start of a step to the end of all steps that depend on it,
   * in milliseconds.
   */
  long criticalPathMillis(Submission submission, int from) {
    List<StepSpec> steps = submission.request().steps();
    long[] pathMillis = new long[steps.size()];
    for (int i = steps.size() - 1; i >= from; i--) {
      pathMillis[i] += taskMillis(submission, steps.get(i));
      for (int earlier : steps.get(i).after()) {
        pathMillis[earlier] = Math.max(pathMillis[earlier], pathMillis[i]);
      }
    }
    return pathMillis[from];
  }
}
