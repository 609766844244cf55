package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
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
 * Guards against gangs that wait for a member on a worker that is gone, because a new planner does
 * not know since when the worker has been silent: each change of planner let it wait for 16 to 20 s
 * more.
 */
final class SilentWorkerTakeoverTest {
  /** Longest time that a lease lasts, as a worker's clock may run slow, and calls in flight. */
  private static final long LEASE_EXPIRY_MILLIS = 10_550;

  /** Time until a VM notices that the planner is gone, takes over and has its starts answered. */
  private static final long TAKEOVER_MILLIS = 4_000;

  /** Time from the loss of a worker until two polls of it have failed. */
  private static final long NOTICE_MILLIS = 4_000;

  private static final long RUN_MILLIS = 60_000;
  private static final JobId GANG = new JobId("%016x".formatted(1));
  private static final int MEMBERS = 4;

  private static SimulatedCluster clusterWithGang(int seed, int vms) {
    SimulatedCluster cluster = new SimulatedCluster(seed, vms, 8, Events.NONE);
    cluster.time().pass(4_000);
    StepSpec gang =
        StepSpec.newBuilder()
            .setCount(MEMBERS)
            .setNeed(new Capacity(8_000, 8_000, 8))
            .setEstimateMillis(RUN_MILLIS)
            .setGang(true)
            .build();
    cluster.submit(GANG, new JobRequest("payload", List.of(gang), Schedule.ONCE), 0);
    cluster.time().pass(2_000);
    assertThat(cluster.oracle().starts()).isEqualTo(MEMBERS);
    return cluster;
  }

  private static WorkerId busyWorker(SimulatedCluster cluster) {
    return cluster.workerIds().stream()
        .filter(worker -> cluster.usedCapacity(worker).accelerators() > 0)
        .findFirst()
        .orElseThrow();
  }

  private static void loseOneMember(SimulatedCluster cluster) {
    cluster.cut(busyWorker(cluster), true);
  }

  private static void assertStartsAgainWithin(SimulatedCluster cluster, long millis) {
    int before = cluster.oracle().starts();
    cluster.time().pass(millis);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.oracle().starts()).isAtLeast(before + MEMBERS);
  }

  // Pattern: a worker is gone, then the planner is.
  @Test
  void aGangStartsAgainAfterOneLeaseWhenThePlannerIsKilled() {
    for (int seed = 1; seed <= 8; seed++) {
      SimulatedCluster cluster = clusterWithGang(seed, 4);
      loseOneMember(cluster);
      cluster.time().pass(NOTICE_MILLIS);
      cluster.kill(cluster.planner().orElseThrow(), 60_000);
      assertStartsAgainWithin(cluster, LEASE_EXPIRY_MILLIS - NOTICE_MILLIS + TAKEOVER_MILLIS);
    }
  }

  // Pattern: a worker is gone, then two planners in a row are.
  @Test
  void aGangStartsAgainAfterOneLeaseWhenTwoPlannersAreKilled() {
    for (int seed = 1; seed <= 8; seed++) {
      SimulatedCluster cluster = clusterWithGang(seed, 5);
      loseOneMember(cluster);
      cluster.time().pass(NOTICE_MILLIS);
      cluster.kill(cluster.planner().orElseThrow(), 60_000);
      cluster.time().pass(TAKEOVER_MILLIS);
      cluster.kill(cluster.planner().orElseThrow(), 60_000);
      assertStartsAgainWithin(cluster, LEASE_EXPIRY_MILLIS - NOTICE_MILLIS);
    }
  }

  // Pattern: a worker is gone, then all VMs lose power. No VM remembers when it read of the
  // silence.
  @Test
  void aGangStartsAgainOneLeaseAfterAllVmsWereKilled() {
    for (int seed = 1; seed <= 8; seed++) {
      SimulatedCluster cluster = clusterWithGang(seed, 4);
      loseOneMember(cluster);
      cluster.time().pass(NOTICE_MILLIS);
      cluster.vmNames().forEach(name -> cluster.kill(name, 1_000));
      assertStartsAgainWithin(cluster, 1_000 + TAKEOVER_MILLIS + LEASE_EXPIRY_MILLIS);
    }
  }

  // Pattern: the log turns the planner away, and only that planner still reaches a worker.
  @Test
  void aMemberThatTheFormerPlannerKeepsAliveDoesNotRunTwice() {
    for (int seed = 1; seed <= 8; seed++) {
      SimulatedCluster cluster = clusterWithGang(seed, 4);
      String former = cluster.planner().orElseThrow();
      cluster.cutFromOthers(former, busyWorker(cluster));
      cluster.setLogFault(former, LogFault.SILENT);
      cluster.time().pass(30_000);
      assertThat(cluster.oracle().violations()).isEmpty();
    }
  }

  // Pattern: a worker falls silent and replies again, several times, while planners change.
  @Test
  void aWorkerThatRepliesAgainKeepsItsRuns() {
    for (int seed = 1; seed <= 8; seed++) {
      SimulatedCluster cluster = clusterWithGang(seed, 4);
      WorkerId flapping = busyWorker(cluster);
      for (int i = 0; i < 6; i++) {
        cluster.cut(flapping, true);
        cluster.time().pass(NOTICE_MILLIS);
        cluster.cut(flapping, false);
        cluster.time().pass(NOTICE_MILLIS);
        cluster.kill(cluster.planner().orElseThrow(), 3_000);
      }
      cluster.time().pass(NOTICE_MILLIS);
      assertThat(cluster.oracle().violations()).isEmpty();
      assertThat(cluster.oracle().starts()).isEqualTo(MEMBERS);
    }
  }
}
