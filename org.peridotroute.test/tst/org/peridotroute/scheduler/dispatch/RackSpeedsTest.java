package org.peridotroute.scheduler.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Checks that a rack with slower workers is detected from the durations of the tasks there. */
final class RackSpeedsTest {
  private static final double SPREAD = 0.5;

  private static RackSpeeds observe(int tasks, double slowdown) {
    Random random = new Random(5);
    RackSpeeds speeds = new RackSpeeds();
    for (int i = 0; i < tasks; i++) {
      for (int rack = 0; rack < 4; rack++) {
        double factor = (rack == 3 ? slowdown : 1) * Math.exp(SPREAD * random.nextGaussian());
        speeds.addObservation("rack-" + rack, 2_500, Math.round(2_500 * factor));
      }
    }
    return speeds;
  }

  @Test
  void detectsSlowRackAfterDozensOfTasks() {
    RackSpeeds speeds = observe(60, 1.3);
    assertThat(speeds.slowdown("rack-3")).isGreaterThan(1.15);
    for (int rack = 0; rack < 3; rack++) {
      assertThat(speeds.slowdown("rack-" + rack)).isLessThan(1.15);
    }
  }

  @Test
  void reportsNoSlowRackAfterFewTasks() {
    RackSpeeds speeds = observe(3, 1.0);
    for (int rack = 0; rack < 4; rack++) {
      assertThat(speeds.slowdown("rack-" + rack)).isLessThan(1.15);
    }
    assertThat(speeds.slowdown("rack-unseen")).isLessThan(1.15);
  }
}
