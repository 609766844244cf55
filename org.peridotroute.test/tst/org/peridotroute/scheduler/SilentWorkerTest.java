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

/**
 * Guards against tasks that are lost with their worker: if a worker never replies again, its tasks
 * must run on another one once their leases have expired.
 */
final class SilentWorkerTest {
  private static final long LEASE_AND_RUN_MILLIS = 20_000;

  @Test
  void rerunsTheTasksOfAWorkerThatNeverAnswersAgain() {
    SimulatedCluster cluster = new SimulatedCluster(11, 2, 2, Events.NONE);
    cluster.time().pass(4_000);
    JobId id = new JobId("%016x".formatted(1));
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(2)
            .setNeed(new Capacity(8_000, 8_000, 8))
            .setEstimateMillis(3_000)
            .build();
    cluster.submit(id, new JobRequest("payload", List.of(step), Schedule.ONCE), 1);
    cluster.time().pass(1_000);
    cluster.cut(cluster.workerIds().get(0), true);
    cluster.time().pass(LEASE_AND_RUN_MILLIS);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }
}
