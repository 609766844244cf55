package org.peridotroute.fold;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.peridotroute.journal.AttemptEnd;
import org.peridotroute.journal.Envelope;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.AcceleratorId;
import org.peridotroute.lib.Adjacency;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.Shape;

/**
 * The fold over the journal stream. Safety rests on this class alone: whatever a policy, a paused
 * planner or a repeated append proposes, an accelerator is never held twice, a non-idempotent job
 * is never started twice, and a job that was told as not run has no start. Stateless.
 */
public final class JobFold {
  /** Attempts of an idempotent job that may be lost before its outcome counts as unknown. */
  public static final int MAX_LOSSES = 8;

  /** Failures of an idempotent job's tasks before the job counts as failed. */
  public static final int MAX_FAILURES = 3;

  /** Jobs kept that have not ended. */
  public static final int MAX_OPEN_JOBS = 20_000;

  /** Ended jobs kept for callers to fetch. */
  public static final int MAX_ENDED_JOBS = 4_000;

  /** Characters of payloads and answers kept. Ended jobs make room for new ones. */
  public static final long MAX_KEPT_CHARS = 8L * 1024 * 1024;

  private JobFold() {}

  /**
   * Folds one record in.
   *
   * @param state the state so far
   * @param entry the next record
   * @return the next state and the verdict; a refused record moves the offset alone
   */
  public static FoldResult<JobState> fold(JobState state, LogEntry entry) {
    Envelope envelope = entry.envelope();
    if (state.writers().hasSeen(envelope)) {
      return new FoldResult<>(state.at(entry.offset(), state.writers()), Verdict.REPEATED);
    }
    WriterSequences writers =
        state.writers().plus(envelope.writer(), envelope.sequence(), entry.offset());
    return apply(state.at(entry.offset(), writers), envelope);
  }

  private static FoldResult<JobState> apply(JobState state, Envelope envelope) {
    LogRecord record = envelope.record();
    if (record instanceof LogRecord.JobSubmitted submitted) {
      return submit(state, submitted, envelope.timeMillis());
    }
    if (record instanceof LogRecord.CancelRequested cancel) {
      return cancel(state, cancel);
    }
    if (record instanceof LogRecord.PlannerClaimed claimed) {
      return claim(state, claimed, envelope);
    }
    if (record instanceof LogRecord.PlannerRenewed renewed) {
      return renew(state, renewed);
    }
    if (record instanceof LogRecord.Placed placed) {
      return place(state, placed);
    }
    if (record instanceof LogRecord.ReclaimRequested reclaim) {
      return reclaim(state, reclaim);
    }
    if (record instanceof LogRecord.JobRefused refused) {
      return refuse(state, refused);
    }
    if (record instanceof LogRecord.Started started) {
      return start(state, started, envelope.timeMillis());
    }
    if (record instanceof LogRecord.AttemptEnded ended) {
      return end(state, ended);
    }
    if (record instanceof LogRecord.Released released) {
      return release(state, released);
    }
    return new FoldResult<>(state, Verdict.WRONG_STREAM);
  }

  private static FoldResult<JobState> submit(
      JobState state, LogRecord.JobSubmitted record, long timeMillis) {
    Job known = state.jobs().get(record.job());
    if (known != null) {
      boolean same = known.spec().equals(record.spec());
      return new FoldResult<>(state, same ? Verdict.SAME_JOB : Verdict.NAME_TAKEN);
    }
    if (state.openJobs() >= MAX_OPEN_JOBS) {
      return new FoldResult<>(state, Verdict.FULL);
    }
    Job job = Job.submitted(record.job(), record.spec(), state.offset(), timeMillis);
    JobState next = evict(state.withJob(job));
    return next.keptChars() > MAX_KEPT_CHARS
        ? new FoldResult<>(state, Verdict.FULL)
        : accepted(next);
  }

  private static FoldResult<JobState> cancel(JobState state, LogRecord.CancelRequested record) {
    Job job = state.jobs().get(record.job());
    if (job == null) {
      return new FoldResult<>(state, Verdict.NOT_FOUND);
    }
    if (job.isEnded() || job.cancelRequested()) {
      return new FoldResult<>(state, Verdict.WRONG_PHASE);
    }
    Job.Change change = job.change(state.offset()).cancelRequested();
    if (job.phase() == JobPhase.RUNNING) {
      return accepted(state.withJob(change.done()));
    }
    Outcome outcome = job.starts() == 0 ? Outcome.NOT_RUN : Outcome.CANCELLED;
    return finish(state, job, change.ended(outcome).reason("cancelled by the caller"));
  }

  private static FoldResult<JobState> claim(
      JobState state, LogRecord.PlannerClaimed record, Envelope envelope) {
    if (record.replacedEpoch() != state.epoch()) {
      return new FoldResult<>(state, Verdict.STALE);
    }
    long epoch = state.offset();
    return accepted(
        state.withPlanner(new PlannerClaim(epoch, record.vm(), envelope.writer(), epoch)));
  }

  private static FoldResult<JobState> renew(JobState state, LogRecord.PlannerRenewed record) {
    if (record.epoch() != state.epoch()) {
      return new FoldResult<>(state, Verdict.STALE);
    }
    PlannerClaim now = state.planner();
    return accepted(
        state.withPlanner(
            new PlannerClaim(now.epoch(), now.vm(), now.incarnation(), state.offset())));
  }

  private static FoldResult<JobState> place(JobState state, LogRecord.Placed record) {
    if (record.epoch() != state.epoch()) {
      return new FoldResult<>(state, Verdict.STALE);
    }
    Job job = state.jobs().get(record.job());
    if (job == null) {
      return new FoldResult<>(state, Verdict.NOT_FOUND);
    }
    if (job.phase() != JobPhase.QUEUED) {
      return new FoldResult<>(state, Verdict.WRONG_PHASE);
    }
    if (record.attempt() != job.attempts() + 1) {
      return new FoldResult<>(state, Verdict.STALE);
    }
    if (!fits(job.spec().shape(), record.members()) || !allFree(state, record.members())) {
      return new FoldResult<>(state, Verdict.BAD_PLACEMENT);
    }
    long token = state.offset();
    Allocation allocation =
        new Allocation(token, job.key(), record.borrowed(), false, record.members(), List.of());
    Job placed = job.change(state.offset()).placed(token).done();
    return accepted(state.withJob(placed).withAllocation(allocation));
  }

  private static boolean fits(Shape shape, List<Member> members) {
    if (members.size() != shape.members()) {
      return false;
    }
    if (shape.adjacency() == Adjacency.WORKER
        && members.stream().map(Member::worker).distinct().count() != 1) {
      return false;
    }
    return members.stream()
        .allMatch(member -> member.accelerators().size() == shape.acceleratorsPerMember());
  }

  private static boolean allFree(JobState state, List<Member> members) {
    Set<AcceleratorId> seen = new HashSet<>();
    return members.stream()
        .flatMap(member -> member.acceleratorIds().stream())
        .allMatch(id -> seen.add(id) && !state.holders().containsKey(id));
  }

  private static FoldResult<JobState> reclaim(JobState state, LogRecord.ReclaimRequested record) {
    if (record.epoch() != state.epoch()) {
      return new FoldResult<>(state, Verdict.STALE);
    }
    Job job = state.jobs().get(record.job());
    if (job == null || !job.isCurrentAttempt(record.token())) {
      return new FoldResult<>(state, Verdict.STALE);
    }
    if (job.reclaimRequested() || !state.allocations().get(record.token()).borrowed()) {
      return new FoldResult<>(state, Verdict.WRONG_PHASE);
    }
    return accepted(state.withJob(job.change(state.offset()).reclaimRequested().done()));
  }

  private static FoldResult<JobState> refuse(JobState state, LogRecord.JobRefused record) {
    if (record.epoch() != state.epoch()) {
      return new FoldResult<>(state, Verdict.STALE);
    }
    Job job = state.jobs().get(record.job());
    if (job == null) {
      return new FoldResult<>(state, Verdict.NOT_FOUND);
    }
    if (job.phase() != JobPhase.QUEUED || job.starts() > 0) {
      return new FoldResult<>(state, Verdict.WRONG_PHASE);
    }
    Job.Change change = job.change(state.offset()).ended(Outcome.NOT_RUN).reason(record.reason());
    return finish(state, job, change);
  }

  private static FoldResult<JobState> start(
      JobState state, LogRecord.Started record, long timeMillis) {
    Job job = state.jobs().get(record.job());
    if (job == null || !job.isCurrentAttempt(record.token())) {
      return new FoldResult<>(state, Verdict.STALE);
    }
    if (job.phase() != JobPhase.PLACED || job.reclaimRequested()) {
      return new FoldResult<>(state, Verdict.WRONG_PHASE);
    }
    if (!job.spec().idempotent() && job.starts() > 0) {
      return new FoldResult<>(state, Verdict.SECOND_START);
    }
    Allocation held = state.allocations().get(record.token());
    if (record.leases().size() != held.members().size()) {
      return new FoldResult<>(state, Verdict.BAD_PLACEMENT);
    }
    JobState next = state.withChanged(held.withLeases(record.leases()));
    return accepted(next.withJob(job.change(state.offset()).started(timeMillis).done()));
  }

  private static FoldResult<JobState> end(JobState state, LogRecord.AttemptEnded record) {
    Job job = state.jobs().get(record.job());
    if (job == null || !job.isCurrentAttempt(record.token())) {
      return new FoldResult<>(state, Verdict.STALE);
    }
    boolean beforeStart = record.end() == AttemptEnd.ABANDONED;
    if (beforeStart != (job.phase() == JobPhase.PLACED)) {
      return new FoldResult<>(state, Verdict.WRONG_PHASE);
    }
    if (record.end() == AttemptEnd.SUCCEEDED
        && (record.answer() == null || !record.answer().isIntact())) {
      return new FoldResult<>(state, Verdict.WRONG_PHASE);
    }
    Job.Change change = job.change(state.offset()).reason(record.reason());
    change.avoid(record.worker());
    if (record.end() == AttemptEnd.FAILED) {
      change.failed();
    }
    if (record.end() == AttemptEnd.LOST) {
      change.lost();
    }
    Outcome outcome = outcome(job, record.end());
    if (outcome == null) {
      return accepted(state.withReleasing(record.token()).withJob(change.queued().done()));
    }
    return finish(state, job, change.ended(outcome).answer(record.answer()));
  }

  /** Returns how the job ends with this end of an attempt, or null if it is queued again. */
  private static Outcome outcome(Job job, AttemptEnd end) {
    boolean again = job.spec().idempotent() && !job.cancelRequested();
    return switch (end) {
      case SUCCEEDED -> Outcome.SUCCEEDED;
      case ABANDONED -> null;
      case CANCELLED -> Outcome.CANCELLED;
      case FAILED -> again && job.failures() + 1 < MAX_FAILURES ? null : Outcome.FAILED;
      case LOST -> again && job.losses() + 1 < MAX_LOSSES ? null : Outcome.UNKNOWN;
      case PREEMPTED -> again ? null : Outcome.UNKNOWN;
    };
  }

  private static FoldResult<JobState> release(JobState state, LogRecord.Released record) {
    Allocation allocation = state.allocations().get(record.token());
    if (allocation == null) {
      return new FoldResult<>(state, Verdict.NOT_FOUND);
    }
    if (!allocation.releasing()) {
      return new FoldResult<>(state, Verdict.WRONG_PHASE);
    }
    return accepted(state.withoutAllocation(allocation));
  }

  private static FoldResult<JobState> finish(JobState state, Job job, Job.Change change) {
    JobState next = job.token() == 0 ? state : state.withReleasing(job.token());
    return accepted(evict(next.withJob(change.done())));
  }

  private static JobState evict(JobState state) {
    JobState next = state;
    while (next.ended().size() > MAX_ENDED_JOBS
        || (next.keptChars() > MAX_KEPT_CHARS && !next.ended().isEmpty())) {
      next = next.withoutOldestEnded();
    }
    return next;
  }

  private static FoldResult<JobState> accepted(JobState state) {
    return new FoldResult<>(state, Verdict.ACCEPTED);
  }

  /**
   * Checks what must hold in every state; for tests and for the dump.
   *
   * @param state a state
   * @return the violations found, empty in a sound state
   */
  public static Set<String> invariantViolations(JobState state) {
    Set<String> violations = new HashSet<>();
    for (Job job : state.jobs().values()) {
      if (!job.spec().idempotent() && job.starts() > 1) {
        violations.add(job.key() + " is non-idempotent and was started twice");
      }
      if (job.outcome() == Outcome.NOT_RUN && job.starts() > 0) {
        violations.add(job.key() + " was told as not run but was started");
      }
      if (job.token() != 0 && !state.allocations().containsKey(job.token())) {
        violations.add(job.key() + " holds a token without accelerators");
      }
    }
    Set<AcceleratorId> held =
        state.allocations().values().stream()
            .flatMap(allocation -> allocation.acceleratorIds().stream())
            .collect(Collectors.toSet());
    if (!held.equals(state.holders().keySet())) {
      violations.add("held accelerators and allocations differ");
    }
    Set<JobKey> endedKeys = new HashSet<>(state.ended().values());
    if (!state.jobs().keySet().containsAll(endedKeys)) {
      violations.add("an evicted job is still on the list of ended ones");
    }
    return violations;
  }
}
