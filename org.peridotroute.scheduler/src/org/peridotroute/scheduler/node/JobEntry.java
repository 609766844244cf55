package org.peridotroute.scheduler.node;

import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.Submission;

/**
 * A job as every VM knows it. What callers are shown may be read by any thread; the rest belongs to
 * the control thread.
 */
final class JobEntry {
  private volatile Submission submission;
  private volatile JobPhase shown = JobPhase.PENDING;
  private boolean cancelled;
  private byte[] progress;

  Submission submission() {
    return submission;
  }

  /** Sets what was accepted; the first submission counts. */
  boolean submit(Submission first) {
    if (submission != null) {
      return false;
    }
    submission = first;
    return true;
  }

  JobPhase shown() {
    return shown;
  }

  /** Shows a phase unless the job is shown as over already. */
  void show(JobPhase phase) {
    if (!shown.isEnded()) {
      shown = phase;
    }
  }

  boolean isCancelled() {
    return cancelled;
  }

  void cancel() {
    cancelled = true;
  }

  byte[] progress() {
    return progress;
  }

  void setProgress(byte[] bytes) {
    progress = bytes;
  }
}
