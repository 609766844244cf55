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
 * Folds the journal stream into {@link JobState}. This class alone enforces the safety rules:
 * whatever a policy, a paused planner or a repeated append proposes, no accelerator is held by two
 * attempts, a non-idempotent job is started at most once, and a job reported as not run was never
 * started. Stateless.
 */
public final class JobFold {
  /** Number of lost attempts after which an idempotent job ends with an unknown outcome. */
  public static final int MAX_LOSSES = 8;

  /** Number of failed attempts after which an idempotent job ends as failed. */
  public static final int MAX_FAILURES = 3;

  /** Maximum number of jobs that have not ended. */
  public static final int MAX_OPEN_JOBS = 20_000;

  /** Maximum number of ended jobs kept for callers to fetch. */
  public static final int MAX_ENDED_JOBS = 4_000;

  /**
   * Maximum total length of the payloads and answers kept, in characters. Ended jobs are evicted to
   * stay within it.
   */
  public static final long MAX_KEPT_CHARS = 8L * 1024 * 1024;

  private JobFold() {}

  /**
   * Applies one record to the state.
   *
   * @param state the state before the record
   * @param entry the record at the next offset
   * @return the next state and the verdict; a record that is not accepted changes only the offset
   *     and the writer sequences
   */
  public static FoldResult<JobState> fold(JobState state, LogEntry entry) {
    Envelope envelope = entry.envelope();
    if (state.writers().hasSeen(envelope)) {
      return new FoldResult<>(state.advanceTo(entry.offset(), state.writers()), Verdict.REPEATED);
    }
    WriterSequences writers =
        state.writers().plus(envelope.writer(), envelope.sequence(), entry.offset());
    return apply(state.advanceTo(entry.offset(), writers), envelope);
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
    Job existing = state.jobs().get(record.job());
    if (existing != null) {
      boolean same = existing.spec().equals(record.spec());
      return new FoldResult<>(state, same ? Verdict.SAME_JOB : Verdict.NAME_TAKEN);
    }
    if (state.openJobs() >= MAX_OPEN_JOBS) {
      return new FoldResult<>(state, Verdict.FULL);
    }
    Job job = Job.submitted(record.job(), record.spec(), state.offset(), timeMillis);
    JobState next = evictEndedJobs(state.withJob(job));
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
    Job.Builder builder = job.toBuilder(state.offset()).requestCancel();
    if (job.phase() == JobPhase.RUNNING) {
      return accepted(state.withJob(builder.build()));
    }
    Outcome outcome = job.starts() == 0 ? Outcome.NOT_RUN : Outcome.CANCELLED;
    return endJob(state, job, builder.end(outcome).setReason("cancelled by the caller"));
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
    PlannerClaim current = state.planner();
    return accepted(
        state.withPlanner(
            new PlannerClaim(
                current.epoch(), current.vm(), current.incarnation(), state.offset())));
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
    if (!matchesShape(job.spec().shape(), record.members())
        || !areAllFree(state, record.members())) {
      return new FoldResult<>(state, Verdict.BAD_PLACEMENT);
    }
    long token = state.offset();
    Allocation allocation =
        new Allocation(token, job.key(), record.borrowed(), false, record.members(), List.of());
    Job placed = job.toBuilder(state.offset()).place(token).build();
    return accepted(state.withJob(placed).withAllocation(allocation));
  }

  private static boolean matchesShape(Shape shape, List<Member> members) {
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

  private static boolean areAllFree(JobState state, List<Member> members) {
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
    return accepted(state.withJob(job.toBuilder(state.offset()).requestReclaim().build()));
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
    Job.Builder builder =
        job.toBuilder(state.offset()).end(Outcome.NOT_RUN).setReason(record.reason());
    return endJob(state, job, builder);
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
    Allocation allocation = state.allocations().get(record.token());
    if (record.leases().size() != allocation.members().size()) {
      return new FoldResult<>(state, Verdict.BAD_PLACEMENT);
    }
    JobState next = state.withUpdatedAllocation(allocation.withLeases(record.leases()));
    return accepted(next.withJob(job.toBuilder(state.offset()).start(timeMillis).build()));
  }

  private static FoldResult<JobState> end(JobState state, LogRecord.AttemptEnded record) {
    Job job = state.jobs().get(record.job());
    if (job == null || !job.isCurrentAttempt(record.token())) {
      return new FoldResult<>(state, Verdict.STALE);
    }
    boolean abandoned = record.end() == AttemptEnd.ABANDONED;
    if (abandoned != (job.phase() == JobPhase.PLACED)) {
      return new FoldResult<>(state, Verdict.WRONG_PHASE);
    }
    if (record.end() == AttemptEnd.SUCCEEDED
        && (record.answer() == null || !record.answer().isIntact())) {
      return new FoldResult<>(state, Verdict.WRONG_PHASE);
    }
    Job.Builder builder = job.toBuilder(state.offset()).setReason(record.reason());
    builder.avoidWorker(record.worker());
    if (record.end() == AttemptEnd.FAILED) {
      builder.countFailure();
    }
    if (record.end() == AttemptEnd.LOST) {
      builder.countLoss();
    }
    Outcome outcome = finalOutcome(job, record.end());
    if (outcome == null) {
      return accepted(state.withReleasing(record.token()).withJob(builder.requeue().build()));
    }
    return endJob(state, job, builder.end(outcome).setAnswer(record.answer()));
  }

  /** Returns the outcome of a job whose attempt ended, or null if the job is queued again. */
  private static Outcome finalOutcome(Job job, AttemptEnd end) {
    boolean mayRetry = job.spec().idempotent() && !job.cancelRequested();
    return switch (end) {
      case SUCCEEDED -> Outcome.SUCCEEDED;
      case ABANDONED -> null;
      case CANCELLED -> Outcome.CANCELLED;
      case FAILED -> mayRetry && job.failures() + 1 < MAX_FAILURES ? null : Outcome.FAILED;
      case LOST -> mayRetry && job.losses() + 1 < MAX_LOSSES ? null : Outcome.UNKNOWN;
      case PREEMPTED -> mayRetry ? null : Outcome.UNKNOWN;
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

  private static FoldResult<JobState> endJob(JobState state, Job job, Job.Builder builder) {
    JobState next = job.token() == 0 ? state : state.withReleasing(job.token());
    return accepted(evictEndedJobs(next.withJob(builder.build())));
  }

  private static JobState evictEndedJobs(JobState state) {
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
   * Checks the invariants of the job state. Used by tests and by the state dump.
   *
   * @param state the state to check
   * @return a message for each violated invariant, empty if all hold
   */
  public static Set<String> invariantViolations(JobState state) {
    Set<String> violations = new HashSet<>();
    for (Job job : state.jobs().values()) {
      if (!job.spec().idempotent() && job.starts() > 1) {
        violations.add(job.key() + " is non-idempotent and was started twice");
      }
      if (job.outcome() == Outcome.NOT_RUN && job.starts() > 0) {
        violations.add(job.key() + " was reported as not run but was started");
      }
      if (job.token() != 0 && !state.allocations().containsKey(job.token())) {
        violations.add(job.key() + " has a token without an allocation");
      }
    }
    Set<AcceleratorId> held =
        state.allocations().values().stream()
            .flatMap(allocation -> allocation.acceleratorIds().stream())
            .collect(Collectors.toSet());
    if (!held.equals(state.holders().keySet())) {
      violations.add("the accelerators by holder and by allocation differ");
    }
    Set<JobKey> endedKeys = new HashSet<>(state.ended().values());
    if (!state.jobs().keySet().containsAll(endedKeys)) {
      violations.add("an evicted job is still listed as ended");
    }
    return violations;
  }
}
