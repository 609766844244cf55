package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;

/**
 * Pattern: a wide step whose starts fill the planner's link for longer than the timeout of a call.
 * Sent all at once, the last ones seem lost; the planner then stops runs that have started well and
 * starts them again, which fills the link anew.
 */
final class SlowLinkTest {
  private static final int TASKS = 64;
  private static final String LARGE_PAYLOAD = "x".repeat(4_000);

  private static JobRequest wideJob(int tasks, long estimateMillis) {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(tasks)
            .setNeed(new Capacity(1_000, 1_000, 1))
            .setEstimateMillis(estimateMillis)
            .build();
    return new JobRequest(LARGE_PAYLOAD, List.of(step), Schedule.ONCE);
  }

  @Test
  void startsEachTaskOfAWideStepOnce() {
    SimulatedCluster cluster = new SimulatedCluster(1, 2, 8, Events.NONE);
    cluster.limitWorkerLink();
    cluster.time().pass(4_000);
    cluster.submit(new JobId("%016x".formatted(1)), wideJob(TASKS, 5_000), 1);
    cluster.time().pass(20_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
    assertThat(cluster.oracle().starts()).isEqualTo(TASKS);
  }

  @Test
  void urgentStartsGoAheadOfAWideStep() {
    SimulatedCluster cluster = new SimulatedCluster(1, 2, 9, Events.NONE);
    cluster.limitWorkerLink();
    cluster.time().pass(4_000);
    cluster.submit(new JobId("%016x".formatted(1)), wideJob(TASKS, 60_000), 1);
    cluster.time().pass(100);
    JobId urgent = new JobId("%016x".formatted(2));
    cluster.submit(urgent, wideJob(1, 100), 0);
    cluster.time().pass(600);
    assertThat(cluster.phases(urgent)).contains(JobPhase.COMPLETED);
    assertThat(cluster.oracle().starts()).isLessThan(TASKS);
  }
}
