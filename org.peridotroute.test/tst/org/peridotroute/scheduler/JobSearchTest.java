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
import org.peridotroute.standin.world.World;
import org.peridotroute.standin.world.World.LogFault;

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
      World world = new World(seed, 3, 2, Events.NONE);
      world.time().pass(5_000);
      JobId id = new JobId("%016x".formatted(seed));
      var outcomes =
          world.submitAt("vm-0", id, SMALL_JOB).thenApply(accepted -> findAtOtherVms(world, id));
      world.time().pass(1_000);
      assertThat(outcomes.join().stream().map(CompletableFuture::join).toList())
          .containsExactly(RequestOutcome.DONE, RequestOutcome.DONE);
    }
  }

  @Test
  void reportsAJobThatWasNeverSubmittedAsMissing() {
    World world = new World(1, 2, 2, Events.NONE);
    world.time().pass(5_000);
    var outcome = world.find("vm-1", new JobId("%016x".formatted(9)));
    world.time().pass(1_000);
    assertThat(outcome.join()).isEqualTo(RequestOutcome.NO_SUCH_JOB);
  }

  @Test
  void doesNotReportAJobAsMissingWhileTheLogFails() {
    World world = new World(1, 2, 2, Events.NONE);
    world.time().pass(5_000);
    world.setLogFault("vm-1", LogFault.REFUSES);
    var outcome = world.find("vm-1", new JobId("%016x".formatted(9)));
    world.time().pass(1_000);
    assertThat(outcome.join()).isEqualTo(RequestOutcome.NOT_DONE);
  }

  @Test
  void reportsAJobAsEndedAsSoonAsItsEndIsStored() {
    for (int seed = 1; seed <= 20; seed++) {
      World world = new World(seed, 3, 2, Events.NONE);
      world.time().pass(5_000);
      JobId id = new JobId("%016x".formatted(seed));
      var accepted = world.submitAt("vm-0", id, SMALL_JOB);
      while (!accepted.isDone() || !world.phases(id).contains(JobPhase.COMPLETED)) {
        world.time().pass(1);
      }
      for (String name : world.vmNames()) {
        var outcome = world.find(name, id);
        world.time().pass(100);
        assertThat(outcome.join()).isEqualTo(RequestOutcome.DONE);
      }
      assertThat(world.phases(id))
          .containsExactly(JobPhase.COMPLETED, JobPhase.COMPLETED, JobPhase.COMPLETED);
    }
  }

  private static List<CompletableFuture<RequestOutcome>> findAtOtherVms(World world, JobId id) {
    return List.of(world.find("vm-1", id), world.find("vm-2", id));
  }
}
