package org.peridotroute.scheduler.plan;

import static com.google.common.truth.Truth.assertThat;
import static org.peridotroute.scheduler.plan.PlanFixtures.NOW;
import static org.peridotroute.scheduler.plan.PlanFixtures.pending;
import static org.peridotroute.scheduler.plan.PlanFixtures.withTimes;

import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.plan.PlanView.PendingStep;

final class DelayCostTest {
  /** Needs 2,500 ms, is on time until 20 s and of use until 60 s after its acceptance. */
  private static final PendingStep STEP =
      withTimes(pending(1, 1, 1, 8, false, false), false, NOW, NOW + 20_000, NOW + 60_000);

  private static double valueAtRisk(long waitedMillis) {
    return DelayCost.valueAtRisk(STEP, NOW + waitedMillis);
  }

  /** Guards against serving steps first that are safely early, or whose value is already lost. */
  @Test
  void stepAboutToMissItsObjectiveCostsMost() {
    assertThat(valueAtRisk(0)).isLessThan(0.2);
    assertThat(valueAtRisk(16_500)).isGreaterThan(0.9);
    assertThat(valueAtRisk(17_500)).isGreaterThan(0.9);
    assertThat(valueAtRisk(17_501)).isLessThan(0.01);
    assertThat(valueAtRisk(57_500)).isEqualTo(DelayCost.LATE_VALUE);
    assertThat(valueAtRisk(57_501)).isEqualTo(0);
  }

  /** Guards against an age that does not reach its bound before the step is of no use. */
  @Test
  void ageGrowsUntilTheStepIsOfNoUse() {
    assertThat(DelayCost.age(STEP, NOW)).isEqualTo(0);
    assertThat(DelayCost.age(STEP, NOW + 17_500)).isEqualTo(0.5);
    assertThat(DelayCost.age(STEP, NOW + 57_500)).isEqualTo(1);
    assertThat(DelayCost.age(STEP, NOW + 90_000)).isEqualTo(1);
    PendingStep lateFromTheStart = withTimes(STEP, false, NOW, NOW + 1_000, NOW + 3_000);
    assertThat(DelayCost.age(lateFromTheStart, NOW)).isEqualTo(0.5);
  }
}
