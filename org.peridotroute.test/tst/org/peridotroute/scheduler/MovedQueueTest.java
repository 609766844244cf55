package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;
import org.peridotroute.standin.world.WorkerFault;

/**
 * Guards against accepted jobs that never run since their queue was sent to another service, or was
 * removed with its service, after they were accepted.
 */
final class MovedQueueTest {
  private static final String OLD = SimulatedCluster.SERVICE;
  private static final String NEW = "press";
  private static final int PRIORITY = 1;
  private static final JobId JOB = new JobId("5c0e7a21d94b3613");

  private SimulatedCluster cluster;
  private List<WorkerId> oldWorkers;
  private List<WorkerId> newWorkers;

  @BeforeEach
  void createCluster() {
    cluster = new SimulatedCluster(1, 3, 4, Events.NONE);
    oldWorkers = cluster.workerIds();
    newWorkers = cluster.addWorkers(NEW, 4);
    cluster.configure(Map.of(PRIORITY, OLD), NEW);
    cluster.time().pass(5_000);
  }

  private static StepSpec.Builder step(int count, long millis) {
    return StepSpec.newBuilder()
        .setCount(count)
        .setNeed(new Capacity(1_000, 1_000, 8))
        .setEstimateMillis(millis);
  }

  private static JobRequest once(StepSpec.Builder step) {
    return new JobRequest("payload", List.of(step.build()), Schedule.ONCE);
  }

  private static JobId other(int number) {
    return new JobId("%016x".formatted(number));
  }

  private void submit(JobId id, JobRequest request) {
    cluster.submit(id, request, PRIORITY);
    cluster.time().pass(1_000);
    assertThat(cluster.accepted()).contains(id);
  }

  private void moveQueue(String to, String... services) {
    cluster.configure(Map.of(PRIORITY, to), services);
  }

  private void removeQueue() {
    cluster.configure(Map.of(0, NEW));
  }

  private long used(List<WorkerId> workers) {
    return workers.stream().mapToLong(id -> cluster.usedCapacity(id).accelerators()).sum();
  }

  private void assertAllDone() {
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }

  /** Fills the workers of the old service for a while, so that the next job has to wait. */
  private void fillOldWorkers() {
    submit(other(1), once(step(4, 6_000)));
    assertThat(used(oldWorkers)).isEqualTo(32);
  }

  @Test
  void laterOccurrencesRunOnTheNewService() {
    long firstMillis = cluster.time().wallMillis() + 2_000;
    submit(
        JOB,
        new JobRequest(
            "payload", List.of(step(2, 500).build()), new Schedule(firstMillis, 6_000, 3)));
    cluster.time().pass(3_000);
    assertThat(cluster.oracle().starts()).isEqualTo(2);
    moveQueue(NEW);
    cluster.time().pass(20_000);
    assertAllDone();
    assertThat(cluster.oracle().starts()).isEqualTo(6);
  }

  @Test
  void aWaitingJobRunsOnTheNewServiceWhileTheOldOneStaysNamed() {
    fillOldWorkers();
    submit(JOB, once(step(4, 1_000)));
    assertThat(used(newWorkers)).isEqualTo(0);
    moveQueue(NEW, OLD);
    cluster.time().pass(1_000);
    assertThat(used(oldWorkers)).isEqualTo(32);
    assertThat(used(newWorkers)).isEqualTo(32);
    cluster.time().pass(8_000);
    assertAllDone();
  }

  @Test
  void runsOnTheOldServiceGoOnAndTheirEndsAreAcknowledged() {
    submit(JOB, once(step(4, 6_000)));
    moveQueue(NEW);
    cluster.time().pass(3_000);
    assertThat(used(oldWorkers)).isEqualTo(32);
    cluster.time().pass(8_000);
    assertAllDone();
    assertThat(cluster.oracle().starts()).isEqualTo(4);
    assertThat(cluster.unacknowledgedEnds()).isEqualTo(0);
  }

  @Test
  void aTaskThatFailedStartsAgainOnTheNewService() {
    oldWorkers.forEach(id -> cluster.setFault(id, WorkerFault.failing(1)));
    submit(JOB, once(step(1, 4_000)));
    moveQueue(NEW);
    cluster.time().pass(15_000);
    assertAllDone();
  }

  @Test
  void aGangStartsAsAWholeOnTheNewService() {
    fillOldWorkers();
    submit(JOB, once(step(4, 1_000).setGang(true)));
    moveQueue(NEW);
    cluster.time().pass(1_000);
    assertThat(used(newWorkers)).isEqualTo(32);
    cluster.time().pass(8_000);
    assertAllDone();
  }

  @Test
  void aQueueThatMovesBackRunsWhereItWas() {
    submit(other(1), once(step(4, 30_000)));
    submit(JOB, once(step(4, 1_000)));
    moveQueue(NEW);
    cluster.time().pass(3_000);
    submit(other(2), once(step(4, 1_000)));
    moveQueue(OLD);
    cluster.time().pass(45_000);
    assertAllDone();
  }

  @Test
  void aSuccessorFollowsAMoveThatNoPlannerHasSeen() {
    fillOldWorkers();
    submit(JOB, once(step(4, 1_000)));
    cluster.vmNames().forEach(vm -> cluster.kill(vm, 1_000));
    moveQueue(NEW);
    cluster.time().pass(25_000);
    assertAllDone();
  }

  @Test
  void aJobAcceptedByAVmWithTheFormerConfigurationRuns() {
    for (String vm : cluster.vmNames()) {
      cluster.setLogFault(vm, LogFault.SILENT);
    }
    moveQueue(NEW);
    cluster.submit(JOB, once(step(4, 1_000)), PRIORITY);
    cluster.time().pass(1_000);
    cluster.vmNames().forEach(vm -> cluster.setLogFault(vm, LogFault.NONE));
    cluster.time().pass(15_000);
    assertThat(cluster.accepted()).contains(JOB);
    assertAllDone();
  }

  @Test
  void jobsOfARemovedQueueRunOnItsLastService() {
    fillOldWorkers();
    submit(JOB, once(step(4, 1_000)));
    removeQueue();
    cluster.time().pass(15_000);
    assertAllDone();
    assertThat(cluster.unacknowledgedEnds()).isEqualTo(0);
  }

  @Test
  void theLastServiceOfARemovedQueueOutlivesAllProcesses() {
    submit(other(1), once(step(4, 25_000)));
    moveQueue(NEW);
    cluster.time().pass(1_000);
    submit(other(2), once(step(4, 25_000)));
    submit(JOB, once(step(4, 1_000)));
    assertThat(used(newWorkers)).isEqualTo(32);
    cluster.configure(Map.of(0, "third"));
    cluster.time().pass(2_000);
    cluster.vmNames().forEach(vm -> cluster.kill(vm, 1_000));
    cluster.time().pass(8_000);
    oldWorkers.forEach(id -> cluster.leave(id, 1_000, 1_000));
    cluster.time().pass(60_000);
    assertAllDone();
  }

  @Test
  void workersOfAServiceThatNoJobNeedsAreLeftAlone() {
    submit(JOB, once(step(4, 1_000)));
    cluster.time().pass(4_000);
    moveQueue(NEW);
    cluster.time().pass(4_000);
    long polls = cluster.polls(oldWorkers);
    cluster.time().pass(10_000);
    assertThat(cluster.polls(oldWorkers)).isEqualTo(polls);
    assertAllDone();
  }
}
