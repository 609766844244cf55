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
 * Guards against running a task twice because connections to its worker are refused. A worker that
 * leaves may stay for longer than announced, and a refused connection does not end its process.
 */
final class RefusedConnectionTest {
  private static final long NOTICE_MILLIS = 2_500;
  private static final long REFUSED_MILLIS = 3_000;
  private static final long RUN_MILLIS = 11_000;

  private final SimulatedCluster cluster = new SimulatedCluster(1, 3, 3, Events.NONE);

  /** Starts a job with one task on each worker and returns a worker that is about to leave. */
  private WorkerId startRunsAndAnnounceLeave() {
    cluster.time().pass(4_000);
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(2)
            .setNeed(new Capacity(8_000, 8_000, 8))
            .setEstimateMillis(RUN_MILLIS)
            .build();
    JobId id = new JobId("%016x".formatted(1));
    cluster.submit(id, new JobRequest("payload", List.of(step), Schedule.ONCE), 1);
    cluster.time().pass(1_000);
    WorkerId leaving =
        cluster.workerIds().stream()
            .filter(worker -> cluster.usedCapacity(worker).accelerators() > 0)
            .findFirst()
            .orElseThrow();
    cluster.announceLeave(leaving, NOTICE_MILLIS);
    return leaving;
  }

  private void refuseFor(WorkerId worker, long millis) {
    cluster.refuse(worker, true);
    cluster.time().pass(millis);
    cluster.refuse(worker, false);
  }

  private void finish() {
    cluster.time().pass(3 * RUN_MILLIS);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }

  @Test
  void keepsTheRunsOfALeavingWorkerPastItsAnnouncedEnd() {
    WorkerId leaving = startRunsAndAnnounceLeave();
    cluster.time().pass(NOTICE_MILLIS + 500);
    refuseFor(leaving, REFUSED_MILLIS);
    finish();
  }

  // The entry of a worker is also removed after some heartbeats of silence.
  @Test
  void keepsTheRunsOfALeavingWorkerThatIsNoLongerListed() {
    WorkerId leaving = startRunsAndAnnounceLeave();
    cluster.setListed(leaving, false);
    cluster.time().pass(100);
    refuseFor(leaving, REFUSED_MILLIS);
    finish();
  }

  @Test
  void keepsTheRunsOfALeavingWorkerAcrossAChangeOfPlanner() {
    WorkerId leaving = startRunsAndAnnounceLeave();
    cluster.time().pass(NOTICE_MILLIS + 500);
    cluster.refuse(leaving, true);
    cluster.kill(cluster.planner().orElseThrow(), 60_000);
    cluster.time().pass(REFUSED_MILLIS);
    cluster.refuse(leaving, false);
    finish();
  }

  // A full lease after the announced end would keep the tasks of a worker that left from starting.
  @Test
  void rerunsTheTasksOfAWorkerThatHasLeftOnceItsShortenedLeaseIsOver() {
    WorkerId leaving = startRunsAndAnnounceLeave();
    cluster.time().pass(6_000);
    cluster.leave(leaving, 1, 1_000);
    cluster.time().pass(6_000);
    assertThat(cluster.oracle().starts()).isEqualTo(3);
    finish();
  }
}
