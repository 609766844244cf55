package org.peridotroute.scheduler.load;

import java.util.List;
import java.util.Optional;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;

/**
 * Refuses a job that cannot end before it is of no use to its caller, since too much work waits
 * that has to start before it. Of the jobs of a queue it turns away those that need much first: a
 * job that needs less than the median waiting one starts before most of them. It never refuses a
 * job that the guarantee of its organisation covers.
 */
public final class RefuseUseless implements AdmissionPolicy {
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Longest time after which a caller is asked to come back. */
  private static final long MAX_RETRY_SECONDS = 30;

  /** Seconds over which callers that were refused at the same moment come back. */
  private static final long RETRY_SPREAD_SECONDS = 3;

  @Override
  public Optional<Refusal> decide(
      Submission submission, long guaranteedAccelerators, Optional<LoadHistory.Lasting> load) {
    if (load.isEmpty() || isCovered(submission, guaranteedAccelerators, load.get().summary())) {
      return Optional.empty();
    }
    QueueLoad queue = load.get().load();
    long pathMillis = criticalPathMillis(submission, queue.taskMillis());
    long objectiveMillis =
        (long) (submission.terms().stretch() * pathMillis) + submission.terms().objectiveMillis();
    long usefulMillis = Submission.Terms.EXPIRY_FACTOR * objectiveMillis - pathMillis;
    long waitMillis = load.get().leastWaitMillis();
    boolean startsBeforeMost =
        acceleratorMillis(submission, queue.taskMillis()) < queue.medianAcceleratorMillis();
    if (waitMillis <= usefulMillis || startsBeforeMost) {
      return Optional.empty();
    }
    return Optional.of(
        new Refusal(
            load.get().summary(),
            load.get().ageMillis(),
            waitMillis,
            usefulMillis,
            retryAfterSeconds(submission, waitMillis - usefulMillis)));
  }

  private static boolean isCovered(
      Submission submission, long guaranteedAccelerators, LoadSummary summary) {
    long inUse = summary.urgentAccelerators().getOrDefault(submission.organisation(), 0L);
    return submission.terms().priority() == 0
        && inUse + peakAccelerators(submission) <= guaranteedAccelerators;
  }

  private static long peakAccelerators(Submission submission) {
    return submission.request().steps().stream()
        .mapToLong(step -> step.count() * step.need().accelerators())
        .max()
        .orElse(0);
  }

  private static long acceleratorMillis(Submission submission, long taskMillis) {
    return submission.request().steps().stream()
        .mapToLong(step -> step.count() * Math.max(1, step.need().accelerators()) * taskMillis)
        .sum();
  }

  /** Returns the length of the longest chain of steps that wait for each other. */
  private static long criticalPathMillis(Submission submission, long taskMillis) {
    List<StepSpec> steps = submission.request().steps();
    long[] depths = new long[steps.size()];
    long longest = 0;
    for (int i = 0; i < steps.size(); i++) {
      depths[i] = 1;
      for (int earlier : steps.get(i).after()) {
        depths[i] = Math.max(depths[i], depths[earlier] + 1);
      }
      longest = Math.max(longest, depths[i]);
    }
    return longest * taskMillis;
  }

  private static int retryAfterSeconds(Submission submission, long excessMillis) {
    long spread = Math.floorMod(submission.id().hashCode(), RETRY_SPREAD_SECONDS);
    long seconds = (excessMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND + spread;
    return (int) Math.max(1, Math.min(MAX_RETRY_SECONDS, seconds));
  }
}
