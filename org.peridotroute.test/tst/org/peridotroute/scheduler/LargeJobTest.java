package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;

/**
 * Guards against a job that no planner can store. The log never accepts its progress, so that each
 * planner in turn stops confirming its term and no job is served any more.
 */
final class LargeJobTest {
  private static final JobId LARGE = new JobId("%016x".formatted(1));
  private static final JobId OTHER = new JobId("%016x".formatted(2));

  private static StepSpec step(int count) {
    return StepSpec.newBuilder()
        .setCount(count)
        .setNeed(new Capacity(1_000, 1_000, 1))
        .setEstimateMillis(500)
        .build();
  }

  private static List<StepSpec> steps(int steps, int count) {
    return new ArrayList<>(Collections.nCopies(steps, step(count)));
  }

  private static void assertOthersAreServedBeside(JobRequest large) {
    SimulatedCluster cluster = new SimulatedCluster(1, 3, 8, Events.NONE);
    cluster.time().pass(4_000);
    cluster.submit(LARGE, large, 1);
    cluster.time().pass(3_000);
    cluster.submit(OTHER, new JobRequest("payload", steps(1, 1), Schedule.ONCE), 0);
    cluster.time().pass(10_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.phases(OTHER)).contains(JobPhase.COMPLETED);
  }

  @Test
  void servesOthersBesideTheLargestJob() {
    assertOthersAreServedBeside(new JobRequest("payload", steps(3, 2_000), Schedule.ONCE));
  }

  // All occurrences of a job with a start long ago are due at once.
  @Test
  void servesOthersBesideAJobWithManyOverdueOccurrences() {
    assertOthersAreServedBeside(
        new JobRequest("payload", steps(1, 100), new Schedule(1, 1, Schedule.MAX_REPEATS)));
  }

  @Test
  void rejectsAJobWhoseProgressWouldNotFitIntoARecord() {
    assertThrows(
        InvalidValueException.class,
        () -> new JobRequest("payload", steps(100, 2_000), Schedule.ONCE));
  }
}
