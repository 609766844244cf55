package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;

/**
 * Guards against runs that nobody stops: the planner that was to stop them ended while their worker
 * was cut off, and its successor took them over as if they should go on.
 */
final class UnwantedRunTest {
  private static final JobId JOB = new JobId("%016x".formatted(1));
  private static final long RUN_MILLIS = 60_000;

  /** Time to reach a worker again, to cancel and to stop, as the users bound them. */
  private static final long MAX_MILLIS = 4_000 + 3_000 + 900;

  private final SimulatedCluster cluster = new SimulatedCluster(1, 3, 7, Events.NONE);

  private static JobRequest job(int tasks, boolean gang) {
    return new JobRequest(
        "payload",
        List.of(
            StepSpec.newBuilder()
                .setCount(tasks)
                .setNeed(new Capacity(8_000, 8_000, 8))
                .setGang(gang)
                .setEstimateMillis(RUN_MILLIS)
                .build()),
        Schedule.ONCE);
  }

  /** Starts a job and returns the workers that run it. */
  private List<WorkerId> start(JobRequest request) {
    cluster.time().pass(4_000);
    cluster.submit(JOB, request, 1);
    cluster.time().pass(1_000);
    List<WorkerId> busy =
        cluster.workerIds().stream()
            .filter(worker -> cluster.usedCapacity(worker).accelerators() > 0)
            .toList();
    assertThat(busy).hasSize(request.taskCount());
    return busy;
  }

  /** Cancels a job of one task while its worker is cut off, and returns the worker. */
  private WorkerId cancelWhileCutOff() {
    WorkerId worker = start(job(1, false)).get(0);
    cluster.cut(worker, true);
    cluster.time().pass(300);
    cluster.cancel(JOB);
    cluster.time().pass(500);
    return worker;
  }

  private void killPlanner() {
    cluster.kill(cluster.planner().orElseThrow(), 6_000);
  }

  private void reconnectAndExpectNoRuns(List<WorkerId> workers) {
    workers.forEach(worker -> cluster.cut(worker, false));
    cluster.time().pass(MAX_MILLIS);
    assertThat(cluster.oracle().runningCount(JOB)).isEqualTo(0);
    assertThat(cluster.oracle().violations()).isEmpty();
  }

  @Test
  void stopsTheRunOfACancelledJobAfterAChangeOfPlanner() {
    WorkerId worker = cancelWhileCutOff();
    killPlanner();
    cluster.time().pass(3_000);
    reconnectAndExpectNoRuns(List.of(worker));
  }

  @Test
  void stopsTheRunOfACancelledJobAfterTwoChangesOfPlanner() {
    WorkerId worker = cancelWhileCutOff();
    killPlanner();
    cluster.time().pass(2_500);
    killPlanner();
    cluster.time().pass(2_500);
    reconnectAndExpectNoRuns(List.of(worker));
  }

  @Test
  void stopsTheRunOfACancelledJobWhosePlannerIsFrozen() {
    WorkerId worker = cancelWhileCutOff();
    cluster.pause(cluster.planner().orElseThrow(), 5_000);
    cluster.time().pass(3_000);
    reconnectAndExpectNoRuns(List.of(worker));
  }

  // One member ends with its worker, the other is cut off when the gang is to be stopped.
  @Test
  void stopsTheRestOfABrokenGangAfterAChangeOfPlanner() {
    List<WorkerId> workers = start(job(2, true));
    cluster.cut(workers.get(0), true);
    cluster.time().pass(100);
    cluster.restartWorker(workers.get(1));
    cluster.time().pass(1_500);
    cluster.cancel(JOB);
    cluster.time().pass(500);
    killPlanner();
    cluster.time().pass(2_000);
    reconnectAndExpectNoRuns(workers);
  }

  // A task that crashes its workers is given up, and the job with it.
  @Test
  void stopsTheRunsOfAJobThatWasGivenUpAfterAChangeOfPlanner() {
    TaskId crashing = new TaskId(new StepId(JOB, 0, 0), 0);
    cluster.setCrashing(crashing, 40);
    cluster.time().pass(4_000);
    cluster.submit(JOB, job(3, false), 1);
    cluster.time().pass(500);
    while (cluster.phases(JOB).stream().noneMatch(phase -> phase.isEnded())) {
      cluster.workerIds().stream()
          .filter(worker -> cluster.usedCapacity(worker).accelerators() > 0)
          .forEach(worker -> cluster.cut(worker, true));
      cluster.time().pass(100);
    }
    killPlanner();
    cluster.time().pass(1_500);
    reconnectAndExpectNoRuns(cluster.workerIds());
  }
}
