package org.peridotroute.scheduler.node;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.peridotroute.scheduler.model.JobId;

/**
 * Looks up jobs for callers. Everything that may still change is read from the log after the
 * request arrives: a job that another VM has just accepted is found, and a job that has just ended
 * is not reported as running. VMs that do not plan can therefore follow the log at long intervals.
 * Confined to the control thread.
 */
final class JobSearch {
  private final CoalescedReads requests;
  private final CoalescedReads progress;
  private final Map<JobId, JobEntry> entries;
  private final BooleanSupplier isPlanning;

  JobSearch(
      TopicFollower requests,
      TopicFollower progress,
      Map<JobId, JobEntry> entries,
      BooleanSupplier isPlanning) {
    this.requests = new CoalescedReads(requests);
    this.progress = new CoalescedReads(progress);
    this.entries = entries;
    this.isPlanning = isPlanning;
  }

  /**
   * Looks up a job.
   *
   * @param id the job
   * @param result completed with DONE once the phase of the job is up to date, NO_SUCH_JOB if there
   *     is no such job, or NOT_DONE if the log cannot be read
   */
  void find(JobId id, CompletableFuture<RequestOutcome> result) {
    Runnable onUnavailable = () -> result.complete(RequestOutcome.NOT_DONE);
    if (JobEntry.isKnown(entries, id)) {
      refresh(id, result, onUnavailable);
      return;
    }
    requests.read(
        () -> {
          if (JobEntry.isKnown(entries, id)) {
            refresh(id, result, onUnavailable);
          } else {
            result.complete(RequestOutcome.NO_SUCH_JOB);
          }
        },
        onUnavailable);
  }

  private void refresh(JobId id, CompletableFuture<RequestOutcome> result, Runnable onUnavailable) {
    // The planner needs no read: it updates the visible phase itself once a phase is stored.
    if (isPlanning.getAsBoolean() || entries.get(id).visiblePhase().isEnded()) {
      result.complete(RequestOutcome.DONE);
      return;
    }
    progress.read(() -> result.complete(RequestOutcome.DONE), onUnavailable);
  }
}
