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
import org.peridotroute.standin.world.World;
import org.peridotroute.standin.world.World.LogFault;

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
  private static String follower(World world) {
    String planner = world.planner().orElseThrow();
    return world.vmNames().stream().filter(name -> !name.equals(planner)).findFirst().orElseThrow();
  }

  private static World world(LogFault fault) {
    World world = new World(3, 3, 2, Events.NONE);
    world.time().pass(5_000);
    world.submit(JOB, request(30_000), 0);
    world.time().pass(1_500);
    world.setLogFault(follower(world), fault);
    world.time().pass(FAULT_MILLIS);
    return world;
  }

  @Test
  void isNotReady() {
    for (LogFault fault : List.of(LogFault.SILENT, LogFault.REFUSES)) {
      World world = world(fault);
      assertThat(world.isReady(follower(world))).isFalse();
    }
  }

  @Test
  void doesNotReportAStalePhase() {
    World world = world(LogFault.SILENT);
    assertThat(world.find(follower(world), JOB).join()).isEqualTo(RequestOutcome.NOT_DONE);
  }

  @Test
  void rejectsASubmissionAtOnce() {
    World world = world(LogFault.SILENT);
    var outcome = world.submitAt(follower(world), new JobId("%016x".formatted(2)), request(100));
    world.time().pass(20);
    assertThat(outcome.getNow(RequestOutcome.UNKNOWN)).isEqualTo(RequestOutcome.NOT_DONE);
  }

  @Test
  void isReadyAgainOnceTheLogAnswers() {
    World world = world(LogFault.SILENT);
    String vm = follower(world);
    world.setLogFault(vm, LogFault.NONE);
    world.time().pass(4_000);
    assertThat(world.isReady(vm)).isTrue();
    var outcome = world.find(vm, JOB);
    world.time().pass(100);
    assertThat(outcome.join()).isEqualTo(RequestOutcome.DONE);
  }
}
