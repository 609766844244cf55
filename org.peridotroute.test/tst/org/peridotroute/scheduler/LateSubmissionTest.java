package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.node.RequestOutcome;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/**
 * Guards against answers about a job whose submission is stored later: a job that was cancelled
 * before its submission was stored ran, and a VM said of its own pending submission that it would
 * not run.
 */
final class LateSubmissionTest {
  private static final JobId JOB = new JobId("5c0e7a21d94b3616");

  /** More records than may come between the preparation of a submission and its record. */
  private static final int FLOOD = 10_500;

  private static final JobRequest SMALL_JOB =
      new JobRequest(
          "payload",
          List.of(
              StepSpec.newBuilder()
                  .setCount(3)
                  .setNeed(new Capacity(1_000, 1_000, 1))
                  .setEstimateMillis(500)
                  .build()),
          Schedule.ONCE);

  private static SimulatedCluster cluster(int seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, 3, 4, Events.NONE);
    cluster.time().pass(5_000);
    return cluster;
  }

  private static <T> T await(SimulatedCluster cluster, CompletableFuture<T> future) {
    for (int i = 0; i < 3_000 && !future.isDone(); i++) {
      cluster.time().pass(10);
    }
    return future.getNow(null);
  }

  /** Submits the job at a VM whose append gets no reply and is done later. */
  private static void submitLate(SimulatedCluster cluster, String vm) {
    cluster.setLogFault(vm, LogFault.DELAYS_APPENDS);
    assertThat(await(cluster, cluster.callers().submitAt(vm, JOB, SMALL_JOB)))
        .isEqualTo(RequestOutcome.UNKNOWN);
    cluster.setLogFault(vm, LogFault.NONE);
  }

  private static void cancelUnknown(SimulatedCluster cluster, String vm, JobId id) {
    assertThat(await(cluster, cluster.callers().cancelAt(vm, id)))
        .isEqualTo(RequestOutcome.NO_SUCH_JOB);
  }

  private static void assertNothingStarted(SimulatedCluster cluster) {
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.oracle().starts()).isEqualTo(0);
  }

  private static void assertCancelled(SimulatedCluster cluster) {
    assertNothingStarted(cluster);
    assertThat(await(cluster, cluster.find("vm-1", JOB))).isEqualTo(RequestOutcome.DONE);
    assertThat(cluster.phases(JOB)).contains(JobPhase.CANCELLED);
  }

  private static String follower(SimulatedCluster cluster) {
    String planner = cluster.planner().orElseThrow();
    return cluster.vmNames().stream().filter(vm -> !vm.equals(planner)).findFirst().orElseThrow();
  }

  /** Cancels as many unknown jobs; returns the outcomes. */
  private static List<RequestOutcome> flood(SimulatedCluster cluster, int first, int count) {
    List<CompletableFuture<RequestOutcome>> outcomes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      outcomes.add(cluster.callers().cancelAt("vm-0", new JobId("%016x".formatted(first + i))));
      if (i % 200 == 0) {
        cluster.time().pass(50);
      }
    }
    cluster.time().pass(2_500);
    return outcomes.stream().map(CompletableFuture::join).toList();
  }

  @Test
  void aJobCancelledBeforeItsSubmissionWasStoredNeverStarts() {
    for (int seed = 1; seed <= 10; seed++) {
      for (String cancelledAt : List.of("vm-0", "vm-1", "vm-2")) {
        SimulatedCluster cluster = cluster(seed);
        submitLate(cluster, "vm-0");
        cancelUnknown(cluster, cancelledAt, JOB);
        cluster.time().pass(15_000);
        assertCancelled(cluster);
      }
    }
  }

  @Test
  void noPlannerStartsAJobThatWasCancelledBeforeItsSubmissionWasStored() {
    for (int seed = 1; seed <= 10; seed++) {
      SimulatedCluster cluster = cluster(seed);
      submitLate(cluster, follower(cluster));
      cancelUnknown(cluster, cluster.planner().orElseThrow(), JOB);
      cluster.expireHistory();
      cluster.kill(cluster.planner().orElseThrow(), 1_000);
      cluster.time().pass(8_000);
      cluster.vmNames().forEach(vm -> cluster.kill(vm, 1_000));
      cluster.time().pass(15_000);
      assertCancelled(cluster);
    }
  }

  // The answer to a repeat does not depend on which VM has read the cancellation.
  @Test
  void aRepeatOfACancelledSubmissionIsStoredAndStaysCancelled() {
    for (String repeatedAt : List.of("vm-0", "vm-1", "vm-2")) {
      SimulatedCluster cluster = cluster(1);
      submitLate(cluster, "vm-0");
      cancelUnknown(cluster, "vm-1", JOB);
      assertThat(await(cluster, cluster.find("vm-2", JOB))).isEqualTo(RequestOutcome.NO_SUCH_JOB);
      assertThat(await(cluster, cluster.callers().submitAt(repeatedAt, JOB, SMALL_JOB)))
          .isEqualTo(RequestOutcome.DONE);
      cluster.time().pass(15_000);
      assertCancelled(cluster);
    }
  }

  @Test
  void aCancellationThatMayNotBeStoredIsNotAcknowledged() {
    for (LogFault fault : List.of(LogFault.LOSES_ANSWERS, LogFault.DELAYS_APPENDS)) {
      SimulatedCluster cluster = cluster(1);
      submitLate(cluster, "vm-0");
      cluster.setLogFault("vm-1", fault);
      RequestOutcome outcome = await(cluster, cluster.callers().cancelAt("vm-1", JOB));
      assertThat(outcome).isAnyOf(RequestOutcome.UNKNOWN, RequestOutcome.NOT_DONE);
      cluster.setLogFault("vm-1", LogFault.NONE);
      cancelUnknown(cluster, "vm-2", JOB);
      cluster.time().pass(15_000);
      assertCancelled(cluster);
    }
  }

  @Test
  void aSubmissionStartsNothingOnceItsCancellationWasRemoved() {
    SimulatedCluster cluster = cluster(1);
    cluster.setAppendDelayMillis(60_000);
    submitLate(cluster, "vm-0");
    cancelUnknown(cluster, "vm-1", JOB);
    assertThat(flood(cluster, 1, FLOOD).contains(RequestOutcome.UNKNOWN)).isFalse();
    cluster.time().pass(30_000);
    assertThat(cluster.keptKeys(Topic.REQUESTS)).isLessThan(FLOOD);
    cluster.time().pass(60_000);
    assertNothingStarted(cluster);
    cluster.vmNames().forEach(vm -> cluster.kill(vm, 1_000));
    cluster.time().pass(10_000);
    assertNothingStarted(cluster);
    assertThat(await(cluster, cluster.find("vm-1", JOB))).isEqualTo(RequestOutcome.NO_SUCH_JOB);
  }

  // Callers that send random ids must not fill the log and the VMs.
  @Test
  void cancellationsOfUnknownJobsAreBoundedAndRemoved() {
    SimulatedCluster cluster = cluster(1);
    List<RequestOutcome> outcomes = flood(cluster, 1, 3 * FLOOD);
    assertThat(outcomes.contains(RequestOutcome.NOT_DONE)).isTrue();
    assertThat(outcomes.contains(RequestOutcome.UNKNOWN)).isFalse();
    assertThat(cluster.keptKeys(Topic.REQUESTS)).isLessThan(2 * FLOOD);
    cluster.time().pass(120_000);
    assertThat(cluster.keptKeys(Topic.REQUESTS)).isLessThan(FLOOD);
    assertThat(flood(cluster, 1_000_000, 1)).containsExactly(RequestOutcome.NO_SUCH_JOB);
  }

  @Test
  void anInvalidRecordDoesNotReplaceAnAcceptedSubmission() {
    SimulatedCluster cluster = cluster(1);
    cluster.setAppendDelayMillis(20_000);
    cluster.workerIds().forEach(worker -> cluster.setListed(worker, false));
    submitLate(cluster, "vm-0");
    assertThat(await(cluster, cluster.callers().submitAt("vm-1", JOB, SMALL_JOB)))
        .isEqualTo(RequestOutcome.DONE);
    var unused = flood(cluster, 1, FLOOD);
    cluster.time().pass(20_000);
    cluster.workerIds().forEach(worker -> cluster.setListed(worker, true));
    cluster.vmNames().forEach(vm -> cluster.kill(vm, 1_000));
    cluster.time().pass(15_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(await(cluster, cluster.find("vm-1", JOB))).isEqualTo(RequestOutcome.DONE);
    assertThat(cluster.phases(JOB)).contains(JobPhase.COMPLETED);
  }

  @Test
  void aVmDoesNotRefuseAJobThatItMayHaveStored() {
    SimulatedCluster cluster = cluster(1);
    submitLate(cluster, "vm-0");
    cluster.setLogFault("vm-0", LogFault.REFUSES);
    cluster.time().pass(2_500);
    assertThat(await(cluster, cluster.callers().submitAt("vm-0", JOB, SMALL_JOB)))
        .isEqualTo(RequestOutcome.UNKNOWN);
  }
}
