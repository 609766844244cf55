package org.peridotroute.scheduler.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;

/**
 * Expected durations. Callers' estimates are far from the truth, so each queue's ratio of true to
 * declared duration is learned.
 */
final class Estimates {
  /** Duration assumed where nothing was declared. */
  private static final long UNKNOWN_MILLIS = 5_000;

  /** Weight of one observation in a queue's ratio. */
  private static final double WEIGHT = 0.1;

  private final Map<String, Double> ratios = new HashMap<>();

  /** Learns from a task that ran its whole length near its data. */
  void observe(Submission submission, StepSpec step, long tookMillis) {
    if (step.estimateMillis() <= 0 || tookMillis <= 0) {
      return;
    }
    double ratio = (double) tookMillis / step.estimateMillis();
    ratios.merge(submission.queue(), ratio, (old, fresh) -> old + WEIGHT * (fresh - old));
  }

  /** Returns the expected duration of a task of a step. */
  long taskMillis(Submission submission, StepSpec step) {
    long declared = step.estimateMillis() > 0 ? step.estimateMillis() : UNKNOWN_MILLIS;
    return (long) (declared * ratios.getOrDefault(submission.queue(), 1.0));
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
