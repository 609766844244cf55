package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/**
 * Guards against starts in a data centre later than the bound after operators have closed it,
 * whatever happens to the planner, the log and the calls meanwhile, and against work that no longer
 * ends because of the closing.
 */
final class ClosedDataCentreTest {
  private static final String CLOSED = "dc-0";
  private int lastJob;

  private static SimulatedCluster cluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, 3, 16, Events.NONE);
    cluster.time().pass(4_000);
    return cluster;
  }

  private void submit(SimulatedCluster cluster, int tasks, boolean gang, long millis) {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(tasks)
            .setNeed(new Capacity(4_000, 4_000, 4))
            .setEstimateMillis(millis)
            .setGang(gang)
            .setSameRack(gang)
            .build();
    cluster.submit(
        new JobId("%016x".formatted(++lastJob)),
        new JobRequest("payload", List.of(step), Schedule.ONCE),
        lastJob % 3);
  }

  private void submitFor(SimulatedCluster cluster, long millis) {
    for (long i = 0; i < millis / 250; i++) {
      submit(cluster, 1 + (int) (i % 6), i % 2 == 0, 1_000 + 500 * (i % 3));
      cluster.time().pass(250);
    }
  }

  private void assertClean(SimulatedCluster cluster) {
    cluster.time().pass(60_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.accepted()).isNotEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }

  @Test
  void workThatWaitsOnAFullFleetStartsElsewhere() {
    for (int seed = 1; seed <= 5; seed++) {
      SimulatedCluster cluster = cluster(seed);
      for (int i = 0; i < 30; i++) {
        submit(cluster, 4, i % 2 == 0, 2_000);
      }
      cluster.time().pass(500);
      cluster.setClosed(CLOSED, true);
      submitFor(cluster, 8_000);
      assertClean(cluster);
    }
  }

  @Test
  void closingHoldsOverALossOfThePlanner() {
    for (int seed = 1; seed <= 5; seed++) {
      SimulatedCluster cluster = cluster(seed);
      submitFor(cluster, 2_000);
      cluster.setClosed(CLOSED, true);
      cluster.time().pass(100);
      cluster.planner().ifPresent(planner -> cluster.kill(planner, 4_000));
      submitFor(cluster, 10_000);
      assertClean(cluster);
    }
  }

  @Test
  void aPausedPlannerDoesNotActOnTheFormerView() {
    for (int seed = 1; seed <= 5; seed++) {
      SimulatedCluster cluster = cluster(seed);
      submitFor(cluster, 2_000);
      cluster.planner().ifPresent(planner -> cluster.pause(planner, 7_000));
      cluster.setClosed(CLOSED, true);
      submitFor(cluster, 10_000);
      assertClean(cluster);
    }
  }

  @Test
  void aPlannerThatTheLogRefusesStartsNothingThere() {
    for (int seed = 1; seed <= 5; seed++) {
      SimulatedCluster cluster = cluster(seed);
      submitFor(cluster, 1_000);
      String planner = cluster.planner().orElseThrow();
      cluster.setLogFault(planner, seed % 2 == 0 ? LogFault.REFUSES : LogFault.SILENT);
      cluster.setClosed(CLOSED, true);
      submitFor(cluster, 8_000);
      cluster.setLogFault(planner, LogFault.NONE);
      submitFor(cluster, 4_000);
      assertClean(cluster);
    }
  }

  @Test
  void lostHistoryNeitherHidesAClosingNorKeepsOneThatEnded() {
    for (int seed = 1; seed <= 5; seed++) {
      SimulatedCluster cluster = cluster(seed);
      cluster.setClosed(CLOSED, true);
      cluster.expireHistory();
      submitFor(cluster, 8_000);
      cluster.setClosed(CLOSED, false);
      cluster.expireHistory();
      cluster.setClosed("dc-1", true);
      submitFor(cluster, 8_000);
      assertClean(cluster);
    }
  }

  @Test
  void unansweredStartsAreNotRepeatedThere() {
    for (int seed = 1; seed <= 5; seed++) {
      SimulatedCluster cluster = cluster(seed);
      cluster.setLateCalls(0.1);
      submitFor(cluster, 2_000);
      cluster.setClosed(CLOSED, true);
      submitFor(cluster, 8_000);
      cluster.setLateCalls(0);
      assertClean(cluster);
    }
  }

  @Test
  void workWaitsWhileAllDataCentresAreClosed() {
    SimulatedCluster cluster = cluster(1);
    cluster.setClosed("dc-0", true);
    cluster.setClosed("dc-1", true);
    cluster.time().pass(2_000);
    int startsBefore = cluster.oracle().starts();
    submitFor(cluster, 4_000);
    assertThat(cluster.oracle().starts()).isEqualTo(startsBefore);
    cluster.setClosed("dc-0", false);
    assertClean(cluster);
  }

  @Test
  void anUnknownDataCentreClosesNothing() {
    SimulatedCluster cluster = cluster(1);
    cluster.setClosed("elsewhere", true);
    submitFor(cluster, 2_000);
    assertClean(cluster);
  }

  @Test
  void theOracleReportsAStartInAClosedDataCentre() {
    SimulatedCluster cluster = cluster(1);
    cluster.workerIds().forEach(id -> cluster.oracle().onClosed(id.value(), true));
    cluster.time().pass(SimulatedCluster.CLOSURE_MILLIS + 100);
    submit(cluster, 1, false, 500);
    cluster.time().pass(3_000);
    assertThat(cluster.oracle().violations()).isNotEmpty();
  }
}
