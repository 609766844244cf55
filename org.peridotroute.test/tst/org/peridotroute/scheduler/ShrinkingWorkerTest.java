package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/**
 * Guards against starting tasks on capacity that a worker no longer has. The capacity of a worker
 * shrinks and grows while it runs.
 */
final class ShrinkingWorkerTest {
  private static final Capacity HALF = new Capacity(32_000, 128_000, 4);
  private static final Capacity NO_ACCELERATORS = new Capacity(64_000, 256_000, 0);

  private static JobId id(long number) {
    return new JobId("%016x".formatted(number));
  }

  private static JobRequest tasks(int count, int accelerators, long estimateMillis) {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(count)
            .setNeed(new Capacity(8_000, 8_000, accelerators))
            .setEstimateMillis(estimateMillis)
            .build();
    return new JobRequest("payload", List.of(step), Schedule.ONCE);
  }

  // A task without accelerators starts on a worker that lacks some of those in use on it.
  @Test
  void startsNothingOnAWorkerThatIsOverItsCapacity() {
    SimulatedCluster cluster = new SimulatedCluster(1, 2, 1, Events.NONE);
    WorkerId worker = cluster.workerIds().get(0);
    cluster.time().pass(4_000);
    cluster.submit(id(1), tasks(1, 8, 20_000), 1);
    cluster.time().pass(1_000);
    cluster.setCapacity(worker, NO_ACCELERATORS);
    cluster.time().pass(7_000);
    cluster.submit(id(2), tasks(1, 0, 1_000), 1);
    cluster.time().pass(60_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }

  // A start that was decided before the capacity shrank is sent after the log has stalled.
  @Test
  void withdrawsAStartThatNoLongerFits() {
    for (int seed = 1; seed <= 20; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 2, 1, Events.NONE);
      WorkerId worker = cluster.workerIds().get(0);
      cluster.time().pass(4_000);
      cluster.submit(id(1), tasks(8, 1, 2_000), 1);
      cluster.time().pass(20);
      cluster.vmNames().forEach(vm -> cluster.setLogFault(vm, LogFault.REFUSES));
      cluster.setCapacity(worker, HALF);
      cluster.time().pass(6_000);
      cluster.vmNames().forEach(vm -> cluster.setLogFault(vm, LogFault.NONE));
      cluster.time().pass(60_000);
      assertThat(cluster.oracle().violations()).isEmpty();
      assertThat(cluster.unfinished()).isEmpty();
    }
  }

  // Starts exceed a capacity that changes while jobs arrive, planners die and the log stalls.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void keepsToTheCapacityWhileItChanges(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, 3, 6, Events.NONE);
    Random random = new Random(seed);
    cluster.time().pass(4_000);
    for (int i = 0; i < 60; i++) {
      int accelerators = random.nextInt(4);
      cluster.submit(id(i), tasks(1 + random.nextInt(6), accelerators, 3_000), random.nextInt(3));
      List<WorkerId> workers = cluster.workerIds();
      WorkerId worker = workers.get(random.nextInt(workers.size()));
      switch (random.nextInt(6)) {
        case 0 -> cluster.setCapacity(worker, HALF);
        case 1 -> cluster.setCapacity(worker, NO_ACCELERATORS);
        case 2 -> cluster.setCapacity(worker, SimulatedCluster.WORKER_CAPACITY);
        case 3 -> cluster.planner().ifPresent(vm -> cluster.kill(vm, 1_000));
        case 4 -> {
          cluster.vmNames().forEach(vm -> cluster.setLogFault(vm, LogFault.REFUSES));
          cluster.time().pass(random.nextInt(8_000));
          cluster.vmNames().forEach(vm -> cluster.setLogFault(vm, LogFault.NONE));
        }
        default -> cluster.time().pass(500);
      }
      cluster.time().pass(random.nextInt(1_000));
    }
    cluster
        .workerIds()
        .forEach(worker -> cluster.setCapacity(worker, SimulatedCluster.WORKER_CAPACITY));
    cluster.time().pass(120_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }
}
