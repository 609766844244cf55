package org.peridotroute.scheduler.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;

/**
 * Guards against accepting jobs that are of no use when they end, against refusing jobs that could
 * be of use, and against refusals on a load that is not known or has passed.
 */
final class RefuseUselessTest {
  private static final long NOW = 50_000;
  private static final String QUEUE = "urgent";

  /** An urgent job of 2.5 s is of use if it ends within three times 1.5 x 2.5 s + 0.4 s. */
  private static final long USEFUL_WAIT_MILLIS = 3 * (3_750 + 400) - 2_500;

  private static Submission job(int tasks, int accelerators, int priority) {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(tasks)
            .setNeed(new Capacity(1_000, 1_000, accelerators))
            .setEstimateMillis(2_500)
            .setGang(true)
            .build();
    return new Submission(
        new JobId("00000000000000aa"),
        "org",
        QUEUE,
        "service",
        new Submission.Terms(priority, 3, 1.5, 400),
        0,
        new JobRequest("payload", List.of(step), Schedule.ONCE));
  }

  private static LoadSummary summary(long version, long waitMillis) {
    return new LoadSummary(
        7,
        version,
        1_968,
        List.of(new QueueLoad(QUEUE, waitMillis, 2_500, 50_000, 40)),
        Map.of("org", 100L));
  }

  private static LoadHistory history(long... waitsMillis) {
    LoadHistory history = new LoadHistory();
    for (int i = 0; i < waitsMillis.length; i++) {
      long atMillis = NOW - 500L * (waitsMillis.length - 1 - i);
      history.add(summary(i + 1, waitsMillis[i]), atMillis);
    }
    return history;
  }

  private static Optional<AdmissionPolicy.Refusal> decide(
      Submission job, long guaranteed, LoadHistory history) {
    return new RefuseUseless().decide(job, guaranteed, history.lasting(QUEUE, NOW));
  }

  @Test
  void refusesALargeJobThatWouldEndAfterItsCallerHasLostInterest() {
    long waitMillis = USEFUL_WAIT_MILLIS + 1_500;
    Optional<AdmissionPolicy.Refusal> refusal =
        decide(job(8, 8, 0), 0, history(waitMillis, waitMillis, waitMillis));
    assertThat(refusal).isPresent();
    assertThat(refusal.get().retryAfterSeconds()).isAtLeast(2);
    assertThat(refusal.get().summary().version()).isEqualTo(3);
  }

  @Test
  void acceptsAJobThatCanStillBeOfUse() {
    long waitMillis = USEFUL_WAIT_MILLIS - 1;
    assertThat(decide(job(8, 8, 0), 0, history(waitMillis, waitMillis, waitMillis))).isEmpty();
  }

  @Test
  void acceptsASmallJobThatStartsBeforeMostOfThoseThatWait() {
    assertThat(decide(job(1, 1, 0), 0, history(90_000, 90_000, 90_000))).isEmpty();
  }

  @Test
  void neverRefusesWhatAGuaranteeCovers() {
    assertThat(decide(job(8, 8, 0), 164, history(90_000, 90_000, 90_000))).isEmpty();
    assertThat(decide(job(8, 8, 0), 163, history(90_000, 90_000, 90_000))).isPresent();
  }

  @Test
  void aBurstThatHasPassedRefusesNobody() {
    assertThat(decide(job(8, 8, 0), 0, history(90_000, 0, 90_000))).isEmpty();
  }

  @Test
  void aSummaryAloneOrTooOldRefusesNobody() {
    assertThat(decide(job(8, 8, 0), 0, history(90_000))).isEmpty();
    LoadHistory history = history(90_000, 90_000, 90_000);
    assertThat(history.lasting(QUEUE, NOW + 2_000)).isPresent();
    assertThat(history.lasting(QUEUE, NOW + 2_001)).isEmpty();
  }

  @Test
  void aRecordThatTheLogDeliversAgainDoesNotSeemNew() {
    LoadHistory history = history(90_000, 90_000, 90_000);
    history.add(summary(3, 90_000), NOW + 5_000);
    assertThat(history.lasting(QUEUE, NOW + 5_000)).isEmpty();
  }

  @Test
  void theRecordOfASummaryCanBeRead() {
    LoadSummary written = summary(3, 1_234);
    assertThat(LoadSummary.read(written.toRecord().value())).isEqualTo(Optional.of(written));
    assertThat(LoadSummary.read(new byte[] {'{', 1})).isEmpty();
  }
}
