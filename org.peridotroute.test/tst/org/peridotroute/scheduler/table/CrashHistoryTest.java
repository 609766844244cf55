package org.peridotroute.scheduler.table;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.table.CrashHistory.Circumstances;

/** Guards against giving up a task too early, and against never giving it up. */
final class CrashHistoryTest {
  private static CrashHistory history(long ageMillis, Circumstances... crashes) {
    CrashHistory history = CrashHistory.NONE;
    for (Circumstances crash : crashes) {
      history = history.plus(ageMillis, crash);
    }
    return history;
  }

  // A job fails because of a worker that would have crashed anyway.
  @Test
  void twoCrashesAreNotEnough() {
    assertThat(history(40, Circumstances.ALONE, Circumstances.ALONE).isExhausted()).isFalse();
  }

  // A task that crashes its workers is started a third time after it has crashed three of them.
  @Test
  void threeCrashesAreEnoughIfTwoHappenedAlone() {
    assertThat(
            history(40, Circumstances.IN_COMPANY, Circumstances.ALONE, Circumstances.ALONE)
                .isExhausted())
        .isTrue();
  }

  // A job fails because its task was packed beside one that crashes its workers.
  @Test
  void threeCrashesInCompanyAreNotEnough() {
    assertThat(
            history(
                    40,
                    Circumstances.IN_COMPANY,
                    Circumstances.IN_COMPANY,
                    Circumstances.IN_COMPANY,
                    Circumstances.ALONE)
                .isExhausted())
        .isFalse();
  }

  // A task that never gets a worker to itself crashes workers without end.
  @Test
  void fiveCrashesAreEnoughInAnyCase() {
    Circumstances company = Circumstances.IN_COMPANY;
    assertThat(history(40, company, company, company, company, company).isExhausted()).isTrue();
  }

  // A job fails because racks lose power again and again.
  @Test
  void sharedFailuresOfOlderRunsNeverCount() {
    CrashHistory history = CrashHistory.NONE;
    for (int i = 0; i < 100; i++) {
      history = history.plus(3_000, Circumstances.SHARED_FAILURE);
    }
    assertThat(history).isEqualTo(CrashHistory.NONE);
  }

  // A task at fault is started a third time after three crashes, because a cut that hits other
  // workers at the same moment explains one of them.
  @Test
  void crashesOfASuspectCountEvenInASharedFailure() {
    CrashHistory history =
        history(
            40,
            Circumstances.IN_COMPANY,
            Circumstances.SHARED_FAILURE,
            Circumstances.ALONE,
            Circumstances.IN_COMPANY,
            Circumstances.IN_COMPANY);
    assertThat(history.isExhausted()).isTrue();
  }

  // A job fails because a rack loses power while its task is suspect for another reason.
  @Test
  void aSharedFailureAfterProbationDoesNotCount() {
    CrashHistory suspect = history(40, Circumstances.IN_COMPANY);
    assertThat(suspect.plus(3_000, Circumstances.SHARED_FAILURE)).isEqualTo(suspect);
  }

  // A run that outlived its probation is accused of a crash that comes much later.
  @Test
  void aCrashAfterProbationAccusesNobody() {
    CrashHistory history =
        history(40, Circumstances.IN_COMPANY)
            .plus(10_000, Circumstances.ALONE)
            .plus(10_000, Circumstances.ALONE);
    assertThat(history.isExhausted()).isFalse();
  }

  // A service that runs for months fails once its workers have crashed five times in all.
  @Test
  void aLongSoundRunClearsTheHistory() {
    CrashHistory history = CrashHistory.NONE;
    for (int i = 0; i < 20; i++) {
      history = history.plus(40, Circumstances.ALONE).plus(3_600_000, Circumstances.ALONE);
    }
    assertThat(history.crashes()).isAtMost(2);
    assertThat(history.isExhausted()).isFalse();
  }

  // A task that crashes its worker after two minutes each time is never given up.
  @Test
  void lateCrashesAtTheSameAgeAddUp() {
    assertThat(
            history(120_000, Circumstances.ALONE, Circumstances.ALONE, Circumstances.ALONE)
                .isExhausted())
        .isTrue();
  }
}
