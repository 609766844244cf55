package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
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

/**
 * Guards against second runs of tasks whose workers leave, refuse connections, or are not listed
 * while they work on, beside random faults of VMs, workers and the log.
 */
final class LeavingFaultsTest {
  private static final int ROUNDS = 14;
  private static final long NOTICE_MILLIS = 1_500;
  private static final int JOBS_PER_ROUND = 2;

  static LongStream seeds() {
    return RandomFaults.seeds();
  }

  private static JobRequest request(Random random) {
    boolean gang = random.nextInt(4) == 0;
    return new JobRequest(
        "payload",
        List.of(
            StepSpec.newBuilder()
                .setCount(2 + random.nextInt(5))
                .setNeed(new Capacity(4_000, 8_000, 1))
                .setGang(gang)
                .setEstimateMillis(1_000 + random.nextInt(9_000))
                .build()),
        Schedule.ONCE);
  }

  /** Lets a worker leave that stays for longer than announced, and refuses calls meanwhile. */
  private static void leave(SimulatedCluster cluster, Random random, WorkerId worker) {
    cluster.announceLeave(worker, NOTICE_MILLIS);
    refuse(cluster, worker, NOTICE_MILLIS + random.nextInt(500), 200 + random.nextInt(5_000));
    long stayMillis = NOTICE_MILLIS + 6_000 + random.nextInt(3_000);
    cluster.time().after(stayMillis, () -> cluster.leave(worker, 1, 1 + random.nextInt(4_500)));
  }

  private static void refuse(
      SimulatedCluster cluster, WorkerId worker, long afterMillis, long forMillis) {
    cluster.time().after(afterMillis, () -> cluster.refuse(worker, true));
    cluster.time().after(afterMillis + forMillis, () -> cluster.refuse(worker, false));
  }

  private static void unlist(SimulatedCluster cluster, Random random, WorkerId worker) {
    cluster.setListed(worker, false);
    cluster.time().after(500 + random.nextInt(5_000), () -> cluster.setListed(worker, true));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwice(long seed) {
    Random random = new Random(seed);
    SimulatedCluster cluster = new SimulatedCluster(seed, 3, 16, Events.NONE);
    cluster.time().pass(4_000);
    // Workers that leave do so once; the others are subject to every other fault.
    List<WorkerId> workers = cluster.workerIds();
    for (int round = 0; round < ROUNDS; round++) {
      for (int i = 0; i < JOBS_PER_ROUND; i++) {
        int number = round * JOBS_PER_ROUND + i;
        cluster.submit(new JobId("%016x".formatted(number)), request(random), random.nextInt(3));
      }
      if (round % 2 == 0 && round / 2 < workers.size() / 2) {
        leave(cluster, random, workers.get(round / 2));
      }
      WorkerId other = workers.get(workers.size() / 2 + random.nextInt(workers.size() / 2));
      switch (random.nextInt(3)) {
        case 0 -> refuse(cluster, other, 1, 200 + random.nextInt(5_000));
        case 1 -> unlist(cluster, random, other);
        default -> cluster.pause(cluster.planner().orElse("vm-0"), 200 + random.nextInt(4_000));
      }
      if (random.nextInt(3) == 0) {
        cluster.kill(cluster.planner().orElse("vm-1"), 200 + random.nextInt(3_000));
      }
      cluster.time().pass(500 + random.nextInt(2_500));
    }
    cluster.time().pass(90_000);
    assertWithMessage("seed " + seed).that(cluster.oracle().violations()).isEmpty();
    assertWithMessage("seed " + seed).that(cluster.unfinished()).isEmpty();
  }
}
