package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/** Several VMs against a log and workers in memory, calm and under random faults. */
final class SimulatedClusterTest {
  /**
   * Seeds that failed once: 4, 2 and 151 on ends and lists of a worker's former life, 332 on a
   * claim that took another's remembered answer, 124 on a planner that acted on an answer it had
   * slept over, at a worker that was born again meanwhile.
   */
  private static final long[] FAILED_BEFORE = {2, 4, 124, 151, 332};

  private static final long SETTLE_MILLIS = 120_000;

  private static JobId id(long number) {
    return new JobId("%016x".formatted(number));
  }

  private static JobRequest job(Random random) {
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

  /** Seeds of CI, or those that the property names, as FROM-TO, for a longer run by hand. */
  static LongStream seeds() {
    String[] range = System.getProperty("peridotroute.world.seeds", "1-30").split("-", 2);
    return LongStream.concat(
            LongStream.of(FAILED_BEFORE),
            LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1])))
        .distinct();
  }

  @Test
  void calmWorldServesEverything() {
    SimulatedCluster world = new SimulatedCluster(1, 3, 8, Events.NONE);
    Random random = new Random(1);
    world.time().pass(4_000);
    for (int i = 0; i < 20; i++) {
      world.submit(id(i), job(random), random.nextInt(3));
      world.time().pass(300);
    }
    world.time().pass(SETTLE_MILLIS);
    assertThat(world.oracle().violations()).isEmpty();
    assertThat(world.accepted()).hasSize(20);
    assertThat(world.unfinished()).isEmpty();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void promisesHoldUnderRandomFaults(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed, 4, 8, traced(seed));
    Random random = new Random(seed * 31);
    world.time().pass(4_000);
    world.setFailingTasks(0.03);
    for (int i = 0; i < 60; i++) {
      world.submit(id(i), job(random), random.nextInt(3));
      if (random.nextInt(8) == 0) {
        world.cancel(id(random.nextInt(i + 1)));
      }
      if (random.nextInt(3) == 0) {
        fault(world, random);
      }
      world.time().pass(random.nextInt(900));
    }
    world.setLateOrders(0);
    world.vmNames().forEach(name -> world.setLogFault(name, LogFault.NONE));
    world.workerIds().forEach(worker -> world.cut(worker, false));
    world.time().pass(SETTLE_MILLIS);
    assertThat(world.oracle().violations()).isEmpty();
    assertThat(world.unfinished()).isEmpty();
  }

  /** Prints the events of the seed that the environment names, to trace a failure. */
  private static Events traced(long seed) {
    return Long.toString(seed).equals(System.getenv("TRACE_SEED"))
        ? (level, name, fields) -> System.out.println(name + " " + Arrays.asList(fields))
        : Events.NONE;
  }

  private static void fault(SimulatedCluster world, Random random) {
    List<String> vms = world.vmNames();
    String vm =
        random.nextBoolean()
            ? world.planner().orElse(vms.get(0))
            : vms.get(random.nextInt(vms.size()));
    List<WorkerId> workers = world.workerIds();
    WorkerId worker = workers.get(random.nextInt(workers.size()));
    int millis = 200 + random.nextInt(6_000);
    switch (random.nextInt(8)) {
      case 0 -> world.kill(vm, millis);
      case 1 -> world.freeze(vm, millis);
      case 2 -> {
        world.setLogFault(vm, List.of(LogFault.values()).get(random.nextInt(4)));
        world.time().after(millis, () -> world.setLogFault(vm, LogFault.NONE));
      }
      case 3 -> {
        LogFault fault = List.of(LogFault.values()).get(random.nextInt(4));
        vms.forEach(name -> world.setLogFault(name, fault));
        world
            .time()
            .after(millis, () -> vms.forEach(name -> world.setLogFault(name, LogFault.NONE)));
      }
      case 4 -> world.bear(worker);
      case 5 -> {
        world.cut(worker, true);
        world.time().after(millis, () -> world.cut(worker, false));
      }
      case 6 -> {
        world.setLateOrders(0.2);
        world.time().after(millis, () -> world.setLateOrders(0));
      }
      default -> vms.forEach(name -> world.kill(name, 100 + random.nextInt(2_000)));
    }
  }
}
