package org.peridotroute.scheduler.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Checks that expected durations are closer to the actual ones than declared durations with errors.
 */
final class QueueDurationsTest {
  private static final double ACTUAL_SPREAD = 0.5;

  @Test
  void reducesErrorOfInaccurateEstimates() {
    assertThat(meanError(0.9, true)).isLessThan(0.65 * meanError(0.9, false));
  }

  @Test
  void followsAccurateEstimates() {
    assertThat(meanError(0.05, true)).isLessThan(0.15);
  }

  @Test
  void expectsMeanDeclaredDurationBeforeAnyRun() {
    QueueDurations durations = new QueueDurations();
    for (int i = 0; i < 50; i++) {
      durations.addDeclared(2_000);
    }
    durations.addDeclared(200);
    assertThat(durations.expectedMillis(200)).isGreaterThan(1_000);
  }

  /** Returns the mean error of the logarithm of the expected durations, or of the declared ones. */
  private static double meanError(double estimateSpread, boolean expected) {
    Random random = new Random(11);
    QueueDurations durations = new QueueDurations();
    double error = 0;
    int count = 0;
    for (int i = 0; i < 400; i++) {
      double actualLog = Math.log(2_500) + ACTUAL_SPREAD * random.nextGaussian();
      long declared = Math.round(Math.exp(actualLog + estimateSpread * random.nextGaussian()));
      durations.addDeclared(declared);
      if (i >= 50) {
        double estimate = expected ? durations.expectedMillis(declared) : declared;
        error += Math.abs(Math.log(estimate) - actualLog);
        count++;
      }
      durations.addObserved(declared, Math.round(Math.exp(actualLog)));
    }
    return error / count;
  }
}
