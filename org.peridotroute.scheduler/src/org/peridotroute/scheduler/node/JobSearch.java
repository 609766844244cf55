package org.peridotroute.scheduler.node;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.peridotroute.scheduler.model.JobId;

/**
 * Finds out what callers ask about a job. What this VM does not know for good is read from the log
 * after the question, so that a job which another VM has just accepted is not denied and one that
 * has just ended is not shown as running. VMs that only show jobs can therefore follow the log at
 * leisure. Belongs to the control thread.
 */
final class JobSearch {
  private final CoalescedReads requests;
  private final CoalescedReads progress;
  private final Map<JobId, JobEntry> entries;
  private final BooleanSupplier planning;

  JobSearch(
      TopicFollower requests,
      TopicFollower progress,
      Map<JobId, JobEntry> entries,
      BooleanSupplier planning) {
    this.requests = new CoalescedReads(requests);
    this.progress = new CoalescedReads(progress);
    this.entries = entries;
    this.planning = planning;
  }

  /**
   * Looks for a job.
   *
   * @param id the job
   * @param answer completed with DONE once its phase is known, NO_SUCH_JOB if there is none, or
   *     NOT_DONE if the log does not tell
   */
  void find(JobId id, CompletableFuture<RequestOutcome> answer) {
    Runnable untold = () -> answer.complete(RequestOutcome.NOT_DONE);
    if (isKnown(id)) {
      refresh(id, answer, untold);
      return;
    }
    requests.read(
        () -> {
          if (isKnown(id)) {
            refresh(id, answer, untold);
          } else {
            answer.complete(RequestOutcome.NO_SUCH_JOB);
          }
        },
        untold);
  }

  private boolean isKnown(JobId id) {
    JobEntry entry = entries.get(id);
    return entry != null && entry.submission() != null;
  }

  private void refresh(JobId id, CompletableFuture<RequestOutcome> answer, Runnable untold) {
    // The planner itself shows what it has stored.
    if (planning.getAsBoolean() || entries.get(id).shown().isEnded()) {
      answer.complete(RequestOutcome.DONE);
      return;
    }
    progress.read(() -> answer.complete(RequestOutcome.DONE), untold);
  }
}
