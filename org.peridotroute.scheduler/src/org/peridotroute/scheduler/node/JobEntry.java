package org.peridotroute.scheduler.node;

import java.util.Map;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.Submission;

/**
 * State of a job that every VM keeps, whether it plans or not. The submission and the visible phase
 * may be read by any thread; everything else is confined to the control thread.
 */
final class JobEntry {
  private volatile Submission submission;
  private volatile JobPhase visiblePhase = JobPhase.PENDING;
  private boolean cancelled;
  private byte[] progress;

  /** Returns whether the submission of a job is known here. Any thread. */
  static boolean isKnown(Map<JobId, JobEntry> entries, JobId id) {
    JobEntry entry = entries.get(id);
    return entry != null && entry.submission() != null;
  }

  /** Returns the submission, null until it has been stored here or read from the log. */
  Submission submission() {
    return submission;
  }

  /**
   * Sets the submission unless one is set already. A job keeps its first submission.
   *
   * @param accepted the submission
   * @return whether it was set
   */
  boolean trySetSubmission(Submission accepted) {
    if (submission != null) {
      return false;
    }
    submission = accepted;
    return true;
  }

  /** Returns the phase that callers see. An ended phase does not change. */
  JobPhase visiblePhase() {
    return visiblePhase;
  }

  /** Sets the visible phase unless the job has ended already. */
  void updatePhase(JobPhase phase) {
    if (!visiblePhase.isEnded()) {
      visiblePhase = phase;
    }
  }

  /** Returns whether a cancellation of the job is stored. */
  boolean isCancelled() {
    return cancelled;
  }

  void markCancelled() {
    cancelled = true;
  }

  /** Records that the cancellation was removed from the log, before the job was submitted. */
  void unmarkCancelled() {
    cancelled = false;
  }

  /** Returns the newest progress record of the job, null if none was read. */
  byte[] progress() {
    return progress;
  }

  void setProgress(byte[] bytes) {
    progress = bytes;
  }
}
