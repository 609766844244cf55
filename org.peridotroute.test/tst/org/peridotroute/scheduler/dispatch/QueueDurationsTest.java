package org.peridotroute.scheduler.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Wrong estimates: what is expected comes nearer to the truth than what callers declare. */
final class QueueDurationsTest {
  private static final double TRUE_SPREAD = 0.5;

  @Test
  void halvesTheErrorOfWildEstimates() {
    assertThat(meanError(0.9, true)).isLessThan(0.65 * meanError(0.9, false));
  }

  @Test
  void trustsEstimatesThatHold() {
    assertThat(meanError(0.05, true)).isLessThan(0.15);
  }

  @Test
  void expectsTheUsualBeforeAnythingHasRun() {
    QueueDurations durations = new QueueDurations();
    for (int i = 0; i < 50; i++) {
      durations.declared(2_000);
    }
    durations.declared(200);
    assertThat(durations.expectedMillis(200)).isGreaterThan(1_000);
  }

  /** Returns the mean error of the logarithm of expected, or of declared, durations. */
  private static double meanError(double estimateSpread, boolean expected) {
    Random random = new Random(11);
    QueueDurations durations = new QueueDurations();
    double error = 0;
    int counted = 0;
    for (int i = 0; i < 400; i++) {
      double truth = Math.log(2_500) + TRUE_SPREAD * random.nextGaussian();
      long declared = Math.round(Math.exp(truth + estimateSpread * random.nextGaussian()));
      durations.declared(declared);
      if (i >= 50) {
        double said = expected ? durations.expectedMillis(declared) : declared;
        error += Math.abs(Math.log(said) - truth);
        counted++;
      }
      durations.observed(declared, Math.round(Math.exp(truth)));
    }
    return error / counted;
  }
}
