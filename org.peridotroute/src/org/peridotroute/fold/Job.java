package org.peridotroute.fold;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import org.peridotroute.lib.Answer;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.WorkerId;

/**
 * State of a job as derived from the log. Immutable; the fold creates a modified copy for each
 * record that changes the job.
 *
 * @param key identity of the job
 * @param spec the caller's specification
 * @param phase current phase
 * @param createdRevision offset of the record that submitted the job
 * @param revision offset of the record that last changed the job
 * @param submittedAtMillis wall clock time on the VM that accepted the job
 * @param startedAtMillis wall clock time on the VM that started the current or latest attempt, 0
 *     before the first start
 * @param attempts number of placements
 * @param starts number of starts; at most 1 for a non-idempotent job
 * @param failures number of attempts that ended because a task failed
 * @param losses number of attempts that ended because a member or its lease was lost
 * @param token fencing token of the current attempt, 0 if there is none
 * @param cancelRequested whether the caller requested cancellation
 * @param reclaimRequested whether a reclaim of the current attempt's accelerators was requested
 * @param avoid workers on which an attempt failed, oldest first
 * @param outcome final outcome, null until the job has ended
 * @param answer the complete answer, null unless the job succeeded
 * @param reason cause given when the latest attempt or the job ended, may be null
 */
public record Job(
    JobKey key,
    JobSpec spec,
    JobPhase phase,
    long createdRevision,
    long revision,
    long submittedAtMillis,
    long startedAtMillis,
    int attempts,
    int starts,
    int failures,
    int losses,
    long token,
    boolean cancelRequested,
    boolean reclaimRequested,
    List<WorkerId> avoid,
    Outcome outcome,
    Answer answer,
    String reason) {
  /** Maximum number of workers to avoid that are kept per job; the oldest is dropped first. */
  static final int MAX_AVOIDED_WORKERS = 8;

  /** Makes a defensive copy of the list. */
  public Job {
    avoid = List.copyOf(avoid);
  }

  static Job submitted(JobKey key, JobSpec spec, long offset, long timeMillis) {
    return new Job(
        key,
        spec,
        JobPhase.QUEUED,
        offset,
        offset,
        timeMillis,
        0,
        0,
        0,
        0,
        0,
        0,
        false,
        false,
        List.of(),
        null,
        null,
        null);
  }

  /** Returns whether the job has ended. */
  @JsonIgnore
  public boolean isEnded() {
    return phase == JobPhase.ENDED;
  }

  /**
   * Returns whether a token identifies the current attempt.
   *
   * @param candidate the token to check
   * @return true if the job has a current attempt with this token
   */
  public boolean isCurrentAttempt(long candidate) {
    return token != 0 && token == candidate;
  }

  Builder toBuilder(long newRevision) {
    return new Builder(this, newRevision);
  }

  /** Builder of a modified copy. Not thread-safe. */
  static final class Builder {
    private final Job job;
    private final long revision;
    private JobPhase phase;
    private long startedAtMillis;
    private int attempts;
    private int starts;
    private int failures;
    private int losses;
    private long token;
    private boolean cancelRequested;
    private boolean reclaimRequested;
    private List<WorkerId> avoid;
    private Outcome outcome;
    private Answer answer;
    private String reason;

    private Builder(Job job, long revision) {
      this.job = job;
      this.revision = revision;
      phase = job.phase;
      startedAtMillis = job.startedAtMillis;
      attempts = job.attempts;
      starts = job.starts;
      failures = job.failures;
      losses = job.losses;
      token = job.token;
      cancelRequested = job.cancelRequested;
      reclaimRequested = job.reclaimRequested;
      avoid = job.avoid;
      outcome = job.outcome;
      answer = job.answer;
      reason = job.reason;
    }

    Builder place(long newToken) {
      phase = JobPhase.PLACED;
      attempts++;
      token = newToken;
      reclaimRequested = false;
      return this;
    }

    Builder start(long timeMillis) {
      phase = JobPhase.RUNNING;
      startedAtMillis = timeMillis;
      starts++;
      return this;
    }

    Builder requeue() {
      phase = JobPhase.QUEUED;
      token = 0;
      reclaimRequested = false;
      return this;
    }

    Builder countLoss() {
      losses++;
      return this;
    }

    Builder countFailure() {
      failures++;
      return this;
    }

    Builder avoidWorker(WorkerId worker) {
      if (worker == null || avoid.contains(worker)) {
        return this;
      }
      List<WorkerId> extended = new ArrayList<>(avoid);
      extended.add(worker);
      avoid =
          extended.size() > MAX_AVOIDED_WORKERS ? extended.subList(1, extended.size()) : extended;
      return this;
    }

    Builder requestCancel() {
      cancelRequested = true;
      return this;
    }

    Builder requestReclaim() {
      reclaimRequested = true;
      return this;
    }

    Builder end(Outcome finalOutcome) {
      phase = JobPhase.ENDED;
      token = 0;
      outcome = finalOutcome;
      return this;
    }

    Builder setAnswer(Answer value) {
      answer = value;
      return this;
    }

    Builder setReason(String value) {
      reason = value;
      return this;
    }

    Job build() {
      return new Job(
          job.key,
          job.spec,
          phase,
          job.createdRevision,
          revision,
          job.submittedAtMillis,
          startedAtMillis,
          attempts,
          starts,
          failures,
          losses,
          token,
          cancelRequested,
          reclaimRequested,
          avoid,
          outcome,
          answer,
          reason);
    }
  }
}
