package org.peridotroute.fold;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import org.peridotroute.lib.Answer;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.WorkerId;

/**
 * A job as the log has it. Immutable; the fold makes a changed copy with each record.
 *
 * @param key its identity
 * @param spec what was asked for
 * @param phase where it is in its life
 * @param createdRevision offset of the record that submitted it
 * @param revision offset of the record that changed it last
 * @param submittedAtMillis wall clock of the VM that accepted it
 * @param startedAtMillis wall clock of the VM that started the present or last attempt, 0 before
 * @param attempts placements so far
 * @param starts starts so far; never over 1 for a non-idempotent job
 * @param failures attempts that ended because a task failed
 * @param losses attempts that ended because a member or its lease was lost
 * @param token fencing token of the present attempt, 0 where there is none
 * @param cancelRequested whether the caller wants it stopped
 * @param reclaimRequested whether the owner of the room wants the present attempt stopped
 * @param avoid workers on which it failed
 * @param outcome how it ended, null before
 * @param answer its whole answer, null unless it succeeded
 * @param reason what was seen at the end of the last attempt, null where nothing was
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
  /** Workers remembered as ones to avoid. */
  static final int MAX_AVOID = 8;

  /** Copies the list. */
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

  /** Returns whether the job is over. */
  @JsonIgnore
  public boolean isEnded() {
    return phase == JobPhase.ENDED;
  }

  /**
   * Returns whether the attempt with this token is the job's present one.
   *
   * @param candidate a token
   * @return whether it is
   */
  public boolean isCurrentAttempt(long candidate) {
    return token != 0 && token == candidate;
  }

  Change change(long offset) {
    return new Change(this, offset);
  }

  /** A changed copy in the making. Used inside the fold by one thread. */
  static final class Change {
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

    private Change(Job job, long revision) {
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

    Change placed(long newToken) {
      phase = JobPhase.PLACED;
      attempts++;
      token = newToken;
      reclaimRequested = false;
      return this;
    }

    Change started(long timeMillis) {
      phase = JobPhase.RUNNING;
      startedAtMillis = timeMillis;
      starts++;
      return this;
    }

    Change queued() {
      phase = JobPhase.QUEUED;
      token = 0;
      reclaimRequested = false;
      return this;
    }

    Change lost() {
      losses++;
      return this;
    }

    Change failed() {
      failures++;
      return this;
    }

    Change avoid(WorkerId worker) {
      if (worker == null || avoid.contains(worker)) {
        return this;
      }
      List<WorkerId> longer = new ArrayList<>(avoid);
      longer.add(worker);
      avoid = longer.size() > MAX_AVOID ? longer.subList(1, longer.size()) : longer;
      return this;
    }

    Change cancelRequested() {
      cancelRequested = true;
      return this;
    }

    Change reclaimRequested() {
      reclaimRequested = true;
      return this;
    }

    Change ended(Outcome how) {
      phase = JobPhase.ENDED;
      token = 0;
      outcome = how;
      return this;
    }

    Change answer(Answer whole) {
      answer = whole;
      return this;
    }

    Change reason(String text) {
      reason = text;
      return this;
    }

    Job done() {
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
