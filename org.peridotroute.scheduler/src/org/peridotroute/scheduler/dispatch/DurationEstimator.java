package org.peridotroute.scheduler.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;

/**
 * Expected durations. Callers' estimates are off by factors in either direction, so a task is
 * expected to take what is usual in its queue, moved towards its own estimate as far as estimates
 * there have been found to tell.
 */
final class DurationEstimator {
  /** Duration assumed where nothing was declared. */
  private static final long UNKNOWN_MILLIS = 5_000;

  private final Map<String, QueueDurations> queues = new HashMap<>();

  /** Takes in what a submission declares. */
  void submitted(Submission submission) {
    for (StepSpec step : submission.request().steps()) {
      if (!step.service()) {
        durations(submission).declared(declaredMillis(step));
      }
    }
  }

  /** Learns from a task that ran its whole length near its data. */
  void observe(Submission submission, StepSpec step, long tookMillis) {
    if (tookMillis > 0) {
      durations(submission).observed(declaredMillis(step), tookMillis);
    }
  }

  /** Returns the expected duration of a task of a step. */
  long taskMillis(Submission submission, StepSpec step) {
    return durations(submission).expectedMillis(declaredMillis(step));
  }

  private QueueDurations durations(Submission submission) {
    return queues.computeIfAbsent(submission.queue(), queue -> new QueueDurations());
  }

  private static long declaredMillis(StepSpec step) {
    return step.estimateMillis() > 0 ? step.estimateMillis() : UNKNOWN_MILLIS;
  }

  /** Returns the time within which a job should complete, from when it was accepted or due. */
  long objectiveMillis(Submission submission) {
    long longest = 0;
    for (int i = 0; i < submission.request().steps().size(); i++) {
      longest = Math.max(longest, chainMillis(submission, i));
    }
    Submission.Terms terms = submission.terms();
    return (long) (terms.stretch() * longest) + terms.objectiveMillis();
  }

  /** Returns the expected time from the start of a step to the end of what depends on it. */
  long chainMillis(Submission submission, int from) {
    List<StepSpec> steps = submission.request().steps();
    long[] tails = new long[steps.size()];
    for (int i = steps.size() - 1; i >= from; i--) {
      tails[i] += taskMillis(submission, steps.get(i));
      for (int earlier : steps.get(i).after()) {
        tails[earlier] = Math.max(tails[earlier], tails[i]);
      }
    }
    return tails[from];
  }
}
