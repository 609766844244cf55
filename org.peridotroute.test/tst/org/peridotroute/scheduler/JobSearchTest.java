package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

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
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/**
 * Guards against a VM that responds from a stale view of the log: a job that another VM has just
 * accepted must be found, and a job that has just ended must not be reported as running.
 */
final class JobSearchTest {
  private static final JobRequest SMALL_JOB =
      new JobRequest(
          "payload",
          List.of(
              StepSpec.newBuilder()
                  .setNeed(new Capacity(1_000, 1_000, 1))
                  .setEstimateMillis(100)
                  .build()),
          Schedule.ONCE);

  @Test
  void findsAJobAsSoonAsAnotherVmHasAcceptedIt() {
    for (int seed = 1; seed <= 20; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 3, 2, Events.NONE);
      cluster.time().pass(5_000);
      JobId id = new JobId("%016x".formatted(seed));
      var outcomes =
          cluster
              .callers()
              .submitAt("vm-0", id, SMALL_JOB)
              .thenApply(accepted -> findAtOtherVms(cluster, id));
      cluster.time().pass(1_000);
      assertThat(outcomes.join().stream().map(CompletableFuture::join).toList())
          .containsExactly(RequestOutcome.DONE, RequestOutcome.DONE);
    }
  }

  @Test
  void reportsAJobThatWasNeverSubmittedAsMissing() {
    SimulatedCluster cluster = new SimulatedCluster(1, 2, 2, Events.NONE);
    cluster.time().pass(5_000);
    var outcome = cluster.find("vm-1", new JobId("%016x".formatted(9)));
    cluster.time().pass(1_000);
    assertThat(outcome.join()).isEqualTo(RequestOutcome.NO_SUCH_JOB);
  }

  @Test
  void doesNotReportAJobAsMissingWhileTheLogFails() {
    SimulatedCluster cluster = new SimulatedCluster(1, 2, 2, Events.NONE);
    cluster.time().pass(5_000);
    cluster.setLogFault("vm-1", LogFault.REFUSES);
    var outcome = cluster.find("vm-1", new JobId("%016x".formatted(9)));
    cluster.time().pass(1_000);
    assertThat(outcome.join()).isEqualTo(RequestOutcome.NOT_DONE);
  }

  @Test
  void reportsAJobAsEndedAsSoonAsItsEndIsStored() {
    for (int seed = 1; seed <= 20; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 3, 2, Events.NONE);
      cluster.time().pass(5_000);
      JobId id = new JobId("%016x".formatted(seed));
      var accepted = cluster.callers().submitAt("vm-0", id, SMALL_JOB);
      while (!accepted.isDone() || !cluster.phases(id).contains(JobPhase.COMPLETED)) {
        cluster.time().pass(1);
      }
      for (String name : cluster.vmNames()) {
        var outcome = cluster.find(name, id);
        cluster.time().pass(100);
        assertThat(outcome.join()).isEqualTo(RequestOutcome.DONE);
      }
      assertThat(cluster.phases(id))
          .containsExactly(JobPhase.COMPLETED, JobPhase.COMPLETED, JobPhase.COMPLETED);
    }
  }

  private static List<CompletableFuture<RequestOutcome>> findAtOtherVms(
      SimulatedCluster cluster, JobId id) {
    return List.of(cluster.find("vm-1", id), cluster.find("vm-2", id));
  }
}
