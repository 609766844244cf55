package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.node.RequestOutcome;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/**
 * Guards against a VM that has lost its connection to the log and still serves: it must not be
 * ready, must not report stale phases, and must reject submissions that it cannot store.
 */
final class CutOffTest {
  private static final JobId JOB = new JobId("%016x".formatted(1));
  private static final long FAULT_MILLIS = 3_500;

  private static JobRequest request(long estimateMillis) {
    return new JobRequest(
        "payload",
        List.of(
            StepSpec.newBuilder()
                .setNeed(new Capacity(1_000, 1_000, 1))
                .setEstimateMillis(estimateMillis)
                .build()),
        Schedule.ONCE);
  }

  /** Returns the first VM that does not plan. */
  private static String follower(SimulatedCluster cluster) {
    String planner = cluster.planner().orElseThrow();
    return cluster.vmNames().stream()
        .filter(name -> !name.equals(planner))
        .findFirst()
        .orElseThrow();
  }

  private static SimulatedCluster cluster(LogFault fault) {
    SimulatedCluster cluster = new SimulatedCluster(3, 3, 2, Events.NONE);
    cluster.time().pass(5_000);
    cluster.submit(JOB, request(30_000), 0);
    cluster.time().pass(1_500);
    cluster.setLogFault(follower(cluster), fault);
    cluster.time().pass(FAULT_MILLIS);
    return cluster;
  }

  @Test
  void isNotReady() {
    for (LogFault fault : List.of(LogFault.SILENT, LogFault.REFUSES)) {
      SimulatedCluster cluster = cluster(fault);
      assertThat(cluster.isReady(follower(cluster))).isFalse();
    }
  }

  @Test
  void doesNotReportAStalePhase() {
    SimulatedCluster cluster = cluster(LogFault.SILENT);
    assertThat(cluster.find(follower(cluster), JOB).join()).isEqualTo(RequestOutcome.NOT_DONE);
  }

  @Test
  void rejectsASubmissionAtOnce() {
    SimulatedCluster cluster = cluster(LogFault.SILENT);
    var outcome =
        cluster
            .callers()
            .submitAt(follower(cluster), new JobId("%016x".formatted(2)), request(100));
    cluster.time().pass(20);
    assertThat(outcome.getNow(RequestOutcome.UNKNOWN)).isEqualTo(RequestOutcome.NOT_DONE);
  }

  @Test
  void isReadyAgainOnceTheLogAnswers() {
    SimulatedCluster cluster = cluster(LogFault.SILENT);
    String vm = follower(cluster);
    cluster.setLogFault(vm, LogFault.NONE);
    cluster.time().pass(4_000);
    assertThat(cluster.isReady(vm)).isTrue();
    var outcome = cluster.find(vm, JOB);
    cluster.time().pass(100);
    assertThat(outcome.join()).isEqualTo(RequestOutcome.DONE);
  }
}
