package org.peridotroute.scheduler.conduct;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;

/** Guards against estimates of speed that tails, gangs or single slow workers distort. */
final class WorkerSpeedsTest {
  private static final double[] RACK_FACTORS = {1.0, 1.0, 1.3};
  private static final int WORKERS_PER_RACK = 8;

  private static WorkerId worker(int rack, int number) {
    return new WorkerId("w-" + rack + "-" + number);
  }

  /** Runs tasks on all workers; 3 in 100 take seven times as long, and worker 0-0 is twice slow. */
  private static WorkerSpeeds observe(int tasks) {
    Random random = new Random(5);
    WorkerSpeeds speeds = new WorkerSpeeds();
    for (int i = 0; i < tasks; i++) {
      for (int rack = 0; rack < RACK_FACTORS.length; rack++) {
        for (int number = 0; number < WORKERS_PER_RACK; number++) {
          double factor = RACK_FACTORS[rack] * Math.exp(0.2 * random.nextGaussian());
          factor *= random.nextInt(100) < 3 ? 7 : 1;
          factor *= rack == 0 && number == 0 ? 2 : 1;
          speeds.addObservation(
              worker(rack, number), "rack-" + rack, 7_000, Math.round(7_000 * factor));
        }
      }
    }
    return speeds;
  }

  // Speeds of 1.0, 1.0 and 1.3 by rack with tails of 7.
  @Test
  void learnsTheSpeedOfRacksInSpiteOfTails() {
    WorkerSpeeds speeds = observe(40);
    for (int number = 1; number < WORKERS_PER_RACK; number++) {
      assertThat(speeds.slowdown(worker(0, number), "rack-0")).isWithin(0.12).of(1.0);
      assertThat(speeds.slowdown(worker(1, number), "rack-1")).isWithin(0.12).of(1.0);
      assertThat(speeds.slowdown(worker(2, number), "rack-2")).isWithin(0.15).of(1.3);
    }
  }

  // One slow worker in a good rack gets the work that is meant for a good one.
  @Test
  void tellsASlowWorkerFromItsRack() {
    WorkerSpeeds speeds = observe(40);
    assertThat(speeds.slowdown(worker(0, 0), "rack-0")).isGreaterThan(1.5);
    assertThat(speeds.expectedMillis(7_000, worker(0, 0), "rack-0")).isGreaterThan(10_500);
  }

  // A worker that has just arrived has no observations of its own.
  @Test
  void assumesTheSpeedOfTheRackForAnUnknownWorker() {
    WorkerSpeeds speeds = observe(40);
    assertThat(speeds.slowdown(new WorkerId("new"), "rack-2")).isWithin(0.12).of(1.3);
    assertThat(speeds.slowdown(new WorkerId("new"), "unknown")).isEqualTo(1);
    assertThat(new WorkerSpeeds().slowdown(new WorkerId("new"), "rack-2")).isEqualTo(1);
  }

  // A single tail among the first tasks must not mark a worker as slow.
  @Test
  void concludesLittleFromOneTask() {
    WorkerSpeeds speeds = observe(8);
    WorkerId fresh = new WorkerId("fresh");
    speeds.addObservation(fresh, "rack-1", 7_000, 49_000);
    assertThat(speeds.slowdown(fresh, "rack-1")).isLessThan(1.3);
  }

  // Members of a gang end together, which would make good workers look as slow as the slowest.
  @Test
  void gangIsAsSlowAsItsSlowestWorkerButAccusesNone() {
    WorkerSpeeds speeds = observe(40);
    double before = speeds.slowdown(worker(1, 1), "rack-1");
    for (int i = 0; i < 8; i++) {
      speeds.addGangObservation("rack-1", 7_000, 14_000);
    }
    assertThat(speeds.slowdown(worker(1, 1), "rack-1")).isWithin(0.03).of(before);
    double gang = speeds.gangSlowdown(Map.of(worker(1, 1), "rack-1", worker(2, 1), "rack-2"));
    assertThat(gang).isEqualTo(speeds.slowdown(worker(2, 1), "rack-2"));
  }
}
