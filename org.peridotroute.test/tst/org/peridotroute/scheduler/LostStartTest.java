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
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.standin.world.SimulatedCluster;

/**
 * Guards against giving up runs whose start went unanswered: the start may have taken effect, so it
 * is repeated at the same worker before the run is stopped there and started elsewhere.
 */
final class LostStartTest {
  private static final int JOBS = 40;

  @Test
  void repeatsAnUnansweredStartAtTheSameWorker() {
    int stopped = 0;
    for (int seed = 1; seed <= 5; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 2, 8, Events.NONE);
      cluster.time().pass(4_000);
      cluster.setLateCalls(0.1);
      for (int i = 0; i < JOBS; i++) {
        StepSpec step =
            StepSpec.newBuilder()
                .setNeed(new Capacity(1_000, 1_000, 1))
                .setEstimateMillis(3_000)
                .build();
        cluster.submit(
            new JobId("%016x".formatted(i)),
            new JobRequest("payload", List.of(step), Schedule.ONCE),
            1);
        cluster.time().pass(200);
      }
      cluster.time().pass(20_000);
      assertThat(cluster.oracle().violations()).isEmpty();
      assertThat(cluster.unfinished()).isEmpty();
      stopped += cluster.oracle().ends().getOrDefault(RunEnd.STOPPED, 0);
    }
    // A tenth of 200 starts go unanswered, and a tenth of their repeats.
    assertThat(stopped).isAtMost(5);
  }
}
