package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

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
 * Guards against a VM that stays unready after the log has recovered. While it rejects requests it
 * makes no appends, so it must notice the recovery by its reads, without a new request.
 */
final class RequestRefusalTest {
  private static final JobRequest SMALL_JOB =
      new JobRequest(
          "payload",
          java.util.List.of(
              StepSpec.newBuilder()
                  .setNeed(new Capacity(1_000, 1_000, 1))
                  .setEstimateMillis(100)
                  .build()),
          Schedule.ONCE);

  @Test
  void isReadyAgainOnceTheLogAnswersReads() {
    SimulatedCluster cluster = new SimulatedCluster(7, 1, 2, Events.NONE);
    cluster.time().pass(4_000);
    cluster.setLogFault("vm-0", LogFault.REFUSES);
    cluster.submit(new JobId("%016x".formatted(1)), SMALL_JOB, 0);
    cluster.time().pass(1_000);
    assertThat(cluster.isReady("vm-0")).isFalse();
    cluster.setLogFault("vm-0", LogFault.NONE);
    cluster.callers().stopRetries();
    cluster.time().pass(3_000);
    assertThat(cluster.isReady("vm-0")).isTrue();
  }
}
