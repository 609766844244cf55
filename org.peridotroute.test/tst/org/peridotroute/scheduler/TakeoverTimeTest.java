package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/**
 * Guards against a long time without a planner: urgent jobs have 1.6 s to start, and those that end
 * meanwhile are shown as completed only by the next planner.
 */
final class TakeoverTimeTest {
  /** Wait that an urgent job of the shortest kind can bear. */
  private static final long MAX_TAKEOVER_MILLIS = 1_600;

  private static SimulatedCluster cluster(int seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(seed, 5, 8, Events.NONE, Set.of(Feature.FAST_TAKEOVER));
    cluster.time().pass(6_000);
    return cluster;
  }

  private static long millisToNextPlanner(SimulatedCluster cluster, String former) {
    long startMillis = cluster.time().steadyMillis();
    while (cluster.vmNames().stream()
        .noneMatch(name -> !name.equals(former) && cluster.isPlanning(name))) {
      cluster.time().pass(10);
    }
    return cluster.time().steadyMillis() - startMillis;
  }

  @Test
  void anotherVmPlansSoonAfterThePlannerWasKilled() {
    for (int seed = 1; seed <= 10; seed++) {
      SimulatedCluster cluster = cluster(seed);
      String former = cluster.planner().orElseThrow();
      cluster.kill(former, 60_000);
      assertThat(millisToNextPlanner(cluster, former)).isAtMost(MAX_TAKEOVER_MILLIS);
    }
  }

  @Test
  void anotherVmPlansSoonAfterTheLogTurnedThePlannerAway() {
    for (int seed = 1; seed <= 10; seed++) {
      SimulatedCluster cluster = cluster(seed);
      String former = cluster.planner().orElseThrow();
      cluster.setLogFault(former, LogFault.REFUSES);
      assertThat(millisToNextPlanner(cluster, former)).isAtMost(MAX_TAKEOVER_MILLIS);
    }
  }

  @Test
  void theRoleStaysWhereItIsWhileNothingHappens() {
    SimulatedCluster cluster = cluster(1);
    String planner = cluster.planner().orElseThrow();
    for (int i = 0; i < 300; i++) {
      cluster.time().pass(100);
      assertThat(cluster.planner()).isEqualTo(Optional.of(planner));
    }
  }
}
