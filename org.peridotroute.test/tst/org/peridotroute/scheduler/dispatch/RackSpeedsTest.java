package org.peridotroute.scheduler.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Racks of slower machines are told from others by what tasks take there. */
final class RackSpeedsTest {
  private static final double SPREAD = 0.5;

  private static RackSpeeds observed(int tasks, double slowness) {
    Random random = new Random(5);
    RackSpeeds speeds = new RackSpeeds();
    for (int i = 0; i < tasks; i++) {
      for (int rack = 0; rack < 4; rack++) {
        double factor = (rack == 3 ? slowness : 1) * Math.exp(SPREAD * random.nextGaussian());
        speeds.observed("rack-" + rack, 2_500, Math.round(2_500 * factor));
      }
    }
    return speeds;
  }

  @Test
  void tellsASlowRackAfterSomeDozensOfTasks() {
    RackSpeeds speeds = observed(60, 1.3);
    assertThat(speeds.slowness("rack-3")).isGreaterThan(1.15);
    for (int rack = 0; rack < 3; rack++) {
      assertThat(speeds.slowness("rack-" + rack)).isLessThan(1.15);
    }
  }

  @Test
  void callsNoRackSlowAfterAFewTasks() {
    RackSpeeds speeds = observed(3, 1.0);
    for (int rack = 0; rack < 4; rack++) {
      assertThat(speeds.slowness("rack-" + rack)).isLessThan(1.15);
    }
    assertThat(speeds.slowness("rack-unseen")).isLessThan(1.15);
  }
}
