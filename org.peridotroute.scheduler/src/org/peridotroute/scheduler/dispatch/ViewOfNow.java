package org.peridotroute.scheduler.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.table.Job;

/** Builds the view that a pass would decide on now, without starting one. Stateless. */
final class ViewOfNow {
  private ViewOfNow() {}

  /** Builds a view from the jobs at hand; a method of the planner. */
  @FunctionalInterface
  interface Builder {
    PlanView build(Map<JobId, Job> jobs);
  }

  /**
   * Builds a view with a job that the planner may not know, or has not considered yet.
   *
   * @param jobs the jobs of the planner, which stay as they are
   * @param submission the job
   * @param wallMillis wall-clock time
   * @param builder builds the view
   */
  static PlanView with(
      Map<JobId, Job> jobs, Submission submission, long wallMillis, Builder builder) {
    Job known = jobs.get(submission.id());
    if (known != null && (known.phase().isEnded() || known.nextOccurrence() > 0)) {
      return builder.build(jobs);
    }
    // The next pass would open the occurrences that are due; here that happens on a copy.
    Job copy = new Job(submission);
    var unused = copy.openDueOccurrences(wallMillis);
    Map<JobId, Job> all = new LinkedHashMap<>(jobs);
    all.put(submission.id(), copy);
    return builder.build(all);
  }
}
