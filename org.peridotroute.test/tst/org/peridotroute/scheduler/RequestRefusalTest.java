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

/** A VM that the log has turned away must serve again without being asked. */
final class RequestRefusalTest {
  private static final JobRequest SMALL =
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
    SimulatedCluster world = new SimulatedCluster(7, 1, 2, Events.NONE);
    world.time().pass(4_000);
    world.setLogFault("vm-0", LogFault.REFUSES);
    world.submit(new JobId("%016x".formatted(1)), SMALL, 0);
    world.time().pass(1_000);
    assertThat(world.isReady("vm-0")).isFalse();
    world.setLogFault("vm-0", LogFault.NONE);
    world.stopRetries();
    world.time().pass(3_000);
    assertThat(world.isReady("vm-0")).isTrue();
  }
}
