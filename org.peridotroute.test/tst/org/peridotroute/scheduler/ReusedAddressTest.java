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

/**
 * Guards against ending the runs of a live worker on the strength of a list entry. A worker crashes
 * while it is cut off from the log and comes back under another id. When the cut heals, a delayed
 * heartbeat of the crashed worker lists it again, at the address of the new one.
 */
final class ReusedAddressTest {
  private static final WorkerId CRASHED = new WorkerId("w-0");
  private static final WorkerId SUCCESSOR = new WorkerId("w-0-again");
  private static final WorkerId SPARE = new WorkerId("w-2");

  private static JobRequest wholeWorkers(int count) {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(count)
            .setNeed(new Capacity(8_000, 8_000, 8))
            .setEstimateMillis(10_000)
            .build();
    return new JobRequest("payload", List.of(step), Schedule.ONCE);
  }

  private static SimulatedCluster clusterWithRunsOnTheSuccessor() {
    SimulatedCluster cluster = new SimulatedCluster(1, 2, 3, Events.NONE);
    cluster.setListed(SPARE, false);
    cluster.time().pass(4_000);
    cluster.setListed(CRASHED, false);
    cluster.replaceWorker(CRASHED, SUCCESSOR);
    cluster.time().pass(1_000);
    cluster.setListed(SUCCESSOR, true);
    cluster.time().pass(1_000);
    cluster.submit(new JobId("%016x".formatted(1)), wholeWorkers(2), 1);
    cluster.time().pass(1_000);
    cluster.setListed(SPARE, true);
    cluster.time().pass(500);
    return cluster;
  }

  @Test
  void keepsTheRunsOfAWorkerWhenItsPredecessorIsListedAgain() {
    SimulatedCluster cluster = clusterWithRunsOnTheSuccessor();
    cluster.setListed(CRASHED, true);
    cluster.time().pass(20_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
    assertThat(cluster.oracle().starts()).isEqualTo(2);
  }

  @Test
  void rerunsTheTasksOfACrashedWorkerOnceItsSuccessorIsListed() {
    SimulatedCluster cluster = clusterWithRunsOnTheSuccessor();
    WorkerId second = new WorkerId("w-1-again");
    cluster.replaceWorker(new WorkerId("w-1"), second);
    cluster.setListed(second, true);
    cluster.time().pass(3_000);
    assertThat(cluster.oracle().starts()).isEqualTo(3);
    cluster.time().pass(20_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }
}
