package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;

/**
 * Guards against runs whose fate a new planner cannot find out, because their worker has left the
 * list: they would be started again only after all leases have expired, and a crash of the worker
 * would not be counted.
 */
final class InheritedRunTest {
  /** Time for which a job may stand still while there is capacity for it. */
  private static final long MAX_STANDSTILL_MILLIS = 3_000;

  private static final long RUN_MILLIS = 6_000;

  /**
   * Longest lease of a worker. Only its end shows that the runs of a worker that has left are over:
   * a worker that is cut off refuses connections and disappears from the list as well.
   */
  private static final long LEASE_MILLIS = 10_000;

  private static JobId id(int number) {
    return new JobId("%016x".formatted(number));
  }

  private static JobRequest job(int tasks, long millis) {
    return new JobRequest(
        "payload",
        List.of(
            StepSpec.newBuilder()
                .setCount(tasks)
                .setNeed(new Capacity(2_000, 2_000, 2))
                .setEstimateMillis(millis)
                .build()),
        Schedule.ONCE);
  }

  private static void awaitPlannerOtherThan(SimulatedCluster cluster, String former) {
    while (cluster.planner().isEmpty() || cluster.planner().get().equals(former)) {
      cluster.time().pass(50);
    }
  }

  // A successor waited 20 s, twice the leases, for workers that had left before it took over.
  @Test
  void rerunsTheWorkOfWorkersThatLeftAroundAChangeOfPlanner() {
    for (int seed = 1; seed <= 8; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 3, 12, Events.NONE);
      cluster.time().pass(4_000);
      for (int i = 0; i < 4; i++) {
        cluster.submit(id(i), job(8, RUN_MILLIS), 1);
      }
      cluster.time().pass(1_500);
      List<WorkerId> leaving = cluster.workerIds().subList(0, 4);
      leaving.forEach(worker -> cluster.leave(worker, 1_600, 2_600));
      cluster.time().pass(1_700);
      String former = cluster.planner().orElseThrow();
      cluster.kill(former, 60_000);
      awaitPlannerOtherThan(cluster, former);
      cluster.time().pass(LEASE_MILLIS + MAX_STANDSTILL_MILLIS + RUN_MILLIS);
      assertThat(cluster.oracle().violations()).isEmpty();
      assertThat(cluster.unfinished()).isEmpty();
    }
  }

  /** Lets a task crash its workers while nobody plans, and checks how often it was started. */
  private static void crashWhileNobodyPlans(long downMillis) {
    for (int seed = 1; seed <= 8; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 5, 12, Events.NONE);
      cluster.time().pass(4_000);
      cluster.setCrashing(new TaskId(new StepId(id(1), 0, 0), 0), 40);
      cluster.submit(id(1), job(1, 2_000), 1);
      for (int round = 0; round < 12; round++) {
        int before = cluster.oracle().starts();
        for (int i = 0; i < 600 && cluster.oracle().starts() == before; i++) {
          cluster.time().pass(50);
        }
        cluster.vmNames().forEach(name -> cluster.kill(name, downMillis));
      }
      cluster.time().pass(60_000);
      assertThat(cluster.oracle().violations()).isEmpty();
      assertThat(cluster.unfinished()).isEmpty();
    }
  }

  // A crash that only the next planner could notice was not counted against the task.
  @Test
  void countsCrashesDuringAShortTimeWithoutPlanner() {
    crashWhileNobodyPlans(500);
  }

  // As above, and the crashed worker has left the list before the next planner reads it.
  @Test
  void countsCrashesOfWorkersThatHaveLeftTheListSince() {
    crashWhileNobodyPlans(6_000);
  }

  // A successor gave up the runs of a worker whose leases had expired, without asking the worker,
  // which was back and had their ends. Done tasks ran again.
  @Test
  void asksAWorkerForItsEndsAlthoughItsLeasesHaveExpired() {
    SimulatedCluster cluster = new SimulatedCluster(1, 3, 2, Events.NONE);
    cluster.time().pass(4_000);
    cluster.submit(id(1), job(8, RUN_MILLIS), 1);
    cluster.time().pass(1_000);
    cluster.workerIds().forEach(worker -> cluster.cut(worker, true));
    cluster.time().pass(LEASE_MILLIS);
    String former = cluster.planner().orElseThrow();
    cluster.kill(former, 60_000);
    cluster.workerIds().forEach(worker -> cluster.cut(worker, false));
    awaitPlannerOtherThan(cluster, former);
    cluster.time().pass(MAX_STANDSTILL_MILLIS + RUN_MILLIS);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
    assertThat(cluster.oracle().starts()).isEqualTo(8);
  }

  // A worker that has announced its end was awaited in the list for seconds after it had left.
  @Test
  void doesNotWaitForTheListOnceAWorkerHasLeftAsAnnounced() {
    SimulatedCluster cluster = new SimulatedCluster(1, 2, 12, Events.NONE);
    cluster.time().pass(4_000);
    cluster.submit(id(1), job(8, RUN_MILLIS), 1);
    cluster.time().pass(1_500);
    cluster.workerIds().subList(0, 6).forEach(worker -> cluster.leave(worker, 1_600, 30_000));
    cluster.time().pass(LEASE_MILLIS + MAX_STANDSTILL_MILLIS + RUN_MILLIS);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }
}
