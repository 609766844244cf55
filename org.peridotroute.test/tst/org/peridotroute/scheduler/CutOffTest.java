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

/** A VM that is cut off from the log sends callers elsewhere instead of telling them old news. */
final class CutOffTest {
  private static final JobId JOB = new JobId("%016x".formatted(1));
  private static final long CUT_MILLIS = 3_500;

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

  /** Returns a VM that does not plan. */
  private static String follower(SimulatedCluster world) {
    String planner = world.planner().orElseThrow();
    return world.vmNames().stream().filter(name -> !name.equals(planner)).findFirst().orElseThrow();
  }

  private static SimulatedCluster world(LogFault fault) {
    SimulatedCluster world = new SimulatedCluster(3, 3, 2, Events.NONE);
    world.time().pass(5_000);
    world.submit(JOB, request(30_000), 0);
    world.time().pass(1_500);
    world.setLogFault(follower(world), fault);
    world.time().pass(CUT_MILLIS);
    return world;
  }

  @Test
  void leavesTheBalancer() {
    for (LogFault fault : List.of(LogFault.SILENT, LogFault.REFUSES)) {
      SimulatedCluster world = world(fault);
      assertThat(world.isReady(follower(world))).isFalse();
    }
  }

  @Test
  void doesNotTellHowAJobStoodBefore() {
    SimulatedCluster world = world(LogFault.SILENT);
    assertThat(world.find(follower(world), JOB).join()).isEqualTo(RequestOutcome.NOT_DONE);
  }

  @Test
  void refusesAtOnceWhatItCannotStore() {
    SimulatedCluster world = world(LogFault.SILENT);
    var answer = world.submitAt(follower(world), new JobId("%016x".formatted(2)), request(100));
    world.time().pass(20);
    assertThat(answer.getNow(RequestOutcome.UNKNOWN)).isEqualTo(RequestOutcome.NOT_DONE);
  }

  @Test
  void servesAgainOnceTheLogAnswers() {
    SimulatedCluster world = world(LogFault.SILENT);
    String vm = follower(world);
    world.setLogFault(vm, LogFault.NONE);
    world.time().pass(4_000);
    assertThat(world.isReady(vm)).isTrue();
    var answer = world.find(vm, JOB);
    world.time().pass(100);
    assertThat(answer.join()).isEqualTo(RequestOutcome.DONE);
  }
}
