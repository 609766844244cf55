package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;

/**
 * Runs several VMs against an in-memory log and workers, without faults and under random faults.
 */
final class SimulatedClusterTest {
  /**
   * Seeds that failed in the past. 2, 4 and 151: ended tasks and task lists of a worker's previous
   * incarnation. 332: a planner claim was given the stored reply to another VM's claim. 124: a
   * planner resumed after a pause and, acting on the log's reply to an append from before the
   * pause, started a task on a worker that had restarted in the meantime.
   */
  private static final long[] PAST_FAILURES = {2, 4, 124, 151, 332};

  private static final long SETTLE_MILLIS = 120_000;

  private static JobId id(long number) {
    return new JobId("%016x".formatted(number));
  }

  private static JobRequest randomJob(Random random) {
    boolean gang = random.nextBoolean();
    StepSpec first =
        StepSpec.newBuilder()
            .setCount(1 + random.nextInt(4))
            .setNeed(new Capacity(8_000, 30_000, 1 + random.nextInt(8)))
            .setEstimateMillis(200 + random.nextInt(4_000))
            .setGang(gang)
            .setSameRack(gang && random.nextBoolean())
            .build();
    StepSpec second =
        StepSpec.newBuilder()
            .setCount(1 + random.nextInt(3))
            .setNeed(new Capacity(4_000, 10_000, 1))
            .setEstimateMillis(500)
            .setAfter(List.of(0))
            .build();
    List<StepSpec> steps = random.nextInt(3) == 0 ? List.of(first, second) : List.of(first);
    return new JobRequest("payload", steps, Schedule.ONCE);
  }

  /** Returns the past failures and the seeds of this run. */
  static LongStream seeds() {
    return LongStream.concat(LongStream.of(PAST_FAILURES), RandomFaults.seeds()).distinct();
  }

  @Test
  void completesAllJobsWithoutFaults() {
    SimulatedCluster cluster = new SimulatedCluster(1, 3, 8, Events.NONE);
    Random random = new Random(1);
    cluster.time().pass(4_000);
    for (int i = 0; i < 20; i++) {
      cluster.submit(id(i), randomJob(random), random.nextInt(3));
      cluster.time().pass(300);
    }
    cluster.time().pass(SETTLE_MILLIS);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.accepted()).hasSize(20);
    assertThat(cluster.unfinished()).isEmpty();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void keepsInvariantsUnderRandomFaults(long seed) {
    playRandomFaults(seed, Set.of());
  }

  // Quarantines and trials must not start, lose or repeat a run against the rules.
  @ParameterizedTest
  @MethodSource("org.peridotroute.scheduler.RandomFaults#seeds")
  void keepsInvariantsWhileConductIsJudged(long seed) {
    playRandomFaults(seed, Set.of(Feature.WORKER_CONDUCT));
  }

  private static void playRandomFaults(long seed, Set<Feature> features) {
    SimulatedCluster cluster = new SimulatedCluster(seed, 4, 8, eventsOf(seed), features);
    Random random = new Random(seed * 31);
    cluster.time().pass(4_000);
    cluster.setFailingTasks(0.03);
    for (int i = 0; i < 60; i++) {
      cluster.submit(id(i), randomJob(random), random.nextInt(3));
      if (random.nextInt(8) == 0) {
        cluster.cancel(id(random.nextInt(i + 1)));
      }
      if (random.nextInt(3) == 0) {
        RandomFaults.inject(cluster, random);
      }
      cluster.time().pass(random.nextInt(900));
    }
    RandomFaults.endAll(cluster);
    cluster.time().pass(SETTLE_MILLIS);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }

  // Optional parts must keep the invariants too, beside each other and beside closed data centres.
  @ParameterizedTest
  @MethodSource("seeds")
  void keepsInvariantsWithAllFeaturesUnderRandomFaults(long seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(seed, 4, 8, eventsOf(seed), EnumSet.allOf(Feature.class));
    Random random = new Random(seed * 37);
    cluster.time().pass(4_000);
    cluster.setFailingTasks(0.03);
    for (int i = 0; i < 60; i++) {
      cluster.submit(id(i), randomJob(random), random.nextInt(3));
      if (random.nextInt(3) == 0) {
        RandomFaults.inject(cluster, random);
      }
      if (random.nextInt(6) == 0) {
        String dataCentre = "dc-" + random.nextInt(SimulatedCluster.DATA_CENTRES);
        cluster.setClosed(dataCentre, random.nextBoolean());
      }
      cluster.time().pass(random.nextInt(900));
    }
    RandomFaults.endAll(cluster);
    for (int i = 0; i < SimulatedCluster.DATA_CENTRES; i++) {
      cluster.setClosed("dc-" + i, false);
    }
    cluster.time().pass(SETTLE_MILLIS);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }

  /** Prints the events if the environment variable TRACE_SEED is the seed, else drops them. */
  private static Events eventsOf(long seed) {
    return Long.toString(seed).equals(System.getenv("TRACE_SEED"))
        ? (level, name, fields) -> System.out.println(name + " " + Arrays.asList(fields))
        : Events.NONE;
  }
}
