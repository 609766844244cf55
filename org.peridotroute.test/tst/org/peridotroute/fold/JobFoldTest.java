package org.peridotroute.fold;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.journal.AttemptEnd;
import org.peridotroute.journal.Envelope;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.Adjacency;
import org.peridotroute.lib.Answer;
import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.Shape;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.WorkerId;

/** Tests the safety rules and the limits that the fold enforces on the journal stream. */
final class JobFoldTest {
  private static final JobKey JOB = JobKey.of("le-goff", "sheet");
  private static final JobKey OTHER = JobKey.of("le-goff", "other");
  private static final Incarnation WRITER = new Incarnation("i1");
  private static final Member MEMBER = new Member(new WorkerId("w1"), List.of(0, 1));
  private static final List<String> LEASES = List.of("w1.1");

  private JobState state = JobState.EMPTY;
  private long sequence;

  @Test
  void discardsRecordThatWasAppendedTwice() {
    LogRecord submit = submitted(JOB, true);
    assertThat(fold(submit)).isEqualTo(Verdict.ACCEPTED);
    Envelope duplicate = new Envelope(Envelope.VERSION, WRITER, sequence, 0, submit);
    FoldResult<JobState> result = JobFold.fold(state, new LogEntry(state.offset() + 1, duplicate));
    assertThat(result.verdict()).isEqualTo(Verdict.REPEATED);
    assertThat(result.state().jobs()).isEqualTo(state.jobs());
  }

  @Test
  void distinguishesSameJobFromTakenName() {
    fold(submitted(JOB, true));
    assertThat(fold(submitted(JOB, true))).isEqualTo(Verdict.SAME_JOB);
    assertThat(fold(submitted(JOB, false))).isEqualTo(Verdict.NAME_TAKEN);
  }

  @Test
  void acceptsOnlyOneOfTwoConcurrentClaims() {
    assertThat(fold(new LogRecord.PlannerClaimed(new VmId("vm-1"), 0))).isEqualTo(Verdict.ACCEPTED);
    assertThat(fold(new LogRecord.PlannerClaimed(new VmId("vm-2"), 0))).isEqualTo(Verdict.STALE);
  }

  @Test
  void rejectsPlacementOfOlderEpoch() {
    long oldEpoch = claim();
    fold(new LogRecord.PlannerClaimed(new VmId("vm-2"), oldEpoch));
    fold(submitted(JOB, true));
    assertThat(fold(placed(oldEpoch, JOB, 1))).isEqualTo(Verdict.STALE);
  }

  @Test
  void rejectsPlacementOnHeldAccelerator() {
    long epoch = claim();
    fold(submitted(JOB, true));
    fold(submitted(OTHER, true));
    assertThat(fold(placed(epoch, JOB, 1))).isEqualTo(Verdict.ACCEPTED);
    assertThat(fold(placed(epoch, OTHER, 1))).isEqualTo(Verdict.BAD_PLACEMENT);
  }

  @Test
  void rejectsPlacementThatListsAnAcceleratorTwice() {
    long epoch = claim();
    Shape two = new Shape(2, 2, Adjacency.RACK);
    fold(new LogRecord.JobSubmitted(JOB, JobSpec.newBuilder(two).build(), "r"));
    LogRecord placement = new LogRecord.Placed(epoch, JOB, 1, false, List.of(MEMBER, MEMBER));
    assertThat(fold(placement)).isEqualTo(Verdict.BAD_PLACEMENT);
  }

  @Test
  void startsNonIdempotentJobAtMostOnce() {
    long token = startedJob(false);
    fold(ended(token, AttemptEnd.LOST, null));
    assertThat(state.jobs().get(JOB).outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(fold(placed(state.epoch(), JOB, 2))).isEqualTo(Verdict.WRONG_PHASE);
  }

  @Test
  void queuesIdempotentJobAgainAfterLoss() {
    long token = startedJob(true);
    fold(ended(token, AttemptEnd.LOST, null));
    assertThat(state.jobs().get(JOB).phase()).isEqualTo(JobPhase.QUEUED);
  }

  @Test
  void keepsAcceleratorsUntilLeasesAreReleased() {
    long token = startedJob(true);
    fold(ended(token, AttemptEnd.SUCCEEDED, Answer.of("done")));
    assertThat(state.holders()).hasSize(2);
    assertThat(fold(new LogRecord.Released(token))).isEqualTo(Verdict.ACCEPTED);
    assertThat(state.holders()).isEmpty();
  }

  @Test
  void rejectsResultOfLostAttempt() {
    long token = startedJob(true);
    fold(ended(token, AttemptEnd.LOST, null));
    assertThat(fold(ended(token, AttemptEnd.SUCCEEDED, Answer.of("late"))))
        .isEqualTo(Verdict.STALE);
  }

  @Test
  void rejectsAnswerThatDoesNotMatchItsDigest() {
    long token = startedJob(true);
    Answer truncated = new Answer("do", Answer.of("done").sha256());
    assertThat(fold(ended(token, AttemptEnd.SUCCEEDED, truncated))).isEqualTo(Verdict.WRONG_PHASE);
  }

  @Test
  void cancelBeforeStartEndsJobAsNotRunAndRejectsTheStart() {
    long epoch = claim();
    fold(submitted(JOB, false));
    fold(placed(epoch, JOB, 1));
    long token = state.offset();
    fold(new LogRecord.CancelRequested(JOB, "r"));
    assertThat(state.jobs().get(JOB).outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(fold(new LogRecord.Started(JOB, token, LEASES))).isEqualTo(Verdict.STALE);
  }

  @Test
  void rejectsReclaimOfAttemptWithinGuarantee() {
    long token = startedJob(true);
    LogRecord reclaim =
        new LogRecord.ReclaimRequested(state.epoch(), JOB, token, JOB.organisation());
    assertThat(fold(reclaim)).isEqualTo(Verdict.WRONG_PHASE);
  }

  @Test
  void evictsOldestEndedJobsAndKeepsInvariants() {
    claim();
    for (int i = 0; i < JobFold.MAX_ENDED_JOBS + 10; i++) {
      JobKey key = JobKey.of("le-goff", "job-" + i);
      fold(submitted(key, true));
      fold(new LogRecord.CancelRequested(key, "r"));
    }
    assertThat(state.jobs()).hasSize(JobFold.MAX_ENDED_JOBS);
    assertThat(state.jobs()).doesNotContainKey(JobKey.of("le-goff", "job-0"));
    assertThat(JobFold.invariantViolations(state)).isEmpty();
  }

  @Test
  void rejectsJobsWhosePayloadsExceedTheLimit() {
    String payload = "x".repeat(JobSpec.MAX_PAYLOAD_BYTES);
    long fitting = JobFold.MAX_KEPT_CHARS / payload.length();
    Shape shape = new Shape(1, 1, Adjacency.RACK);
    JobSpec large = JobSpec.newBuilder(shape).setPayload(payload).build();
    for (int i = 0; i < fitting; i++) {
      JobKey key = JobKey.of("le-goff", "job-" + i);
      assertThat(fold(new LogRecord.JobSubmitted(key, large, "r"))).isEqualTo(Verdict.ACCEPTED);
    }
    assertThat(fold(new LogRecord.JobSubmitted(OTHER, large, "r"))).isEqualTo(Verdict.FULL);
    fold(new LogRecord.CancelRequested(JobKey.of("le-goff", "job-0"), "r"));
    assertThat(fold(new LogRecord.JobSubmitted(OTHER, large, "r"))).isEqualTo(Verdict.ACCEPTED);
  }

  private long claim() {
    fold(new LogRecord.PlannerClaimed(new VmId("vm-1"), state.epoch()));
    return state.epoch();
  }

  private long startedJob(boolean idempotent) {
    long epoch = claim();
    fold(submitted(JOB, idempotent));
    fold(placed(epoch, JOB, 1));
    long token = state.offset();
    assertThat(fold(new LogRecord.Started(JOB, token, LEASES))).isEqualTo(Verdict.ACCEPTED);
    return token;
  }

  private static LogRecord submitted(JobKey key, boolean idempotent) {
    Shape shape = new Shape(1, 2, Adjacency.RACK);
    JobSpec spec = JobSpec.newBuilder(shape).setIdempotent(idempotent).build();
    return new LogRecord.JobSubmitted(key, spec, "r");
  }

  private static LogRecord placed(long epoch, JobKey key, int attempt) {
    return new LogRecord.Placed(epoch, key, attempt, false, List.of(MEMBER));
  }

  private static LogRecord ended(long token, AttemptEnd end, Answer answer) {
    return new LogRecord.AttemptEnded(JOB, token, end, answer, null, null);
  }

  private Verdict fold(LogRecord record) {
    sequence++;
    Envelope envelope = new Envelope(Envelope.VERSION, WRITER, sequence, 0, record);
    FoldResult<JobState> result = JobFold.fold(state, new LogEntry(state.offset() + 1, envelope));
    state = result.state();
    assertThat(JobFold.invariantViolations(state)).isEmpty();
    return result.verdict();
  }
}
