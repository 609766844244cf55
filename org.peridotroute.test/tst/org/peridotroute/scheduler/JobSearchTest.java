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

/** A job that one VM has accepted is known to whoever asks another VM right after. */
final class JobSearchTest {
  private static final JobRequest SMALL =
      new JobRequest(
          "payload",
          List.of(
              StepSpec.newBuilder()
                  .setNeed(new Capacity(1_000, 1_000, 1))
                  .setEstimateMillis(100)
                  .build()),
          Schedule.ONCE);

  @Test
  void isFoundAtAnotherVmAsSoonAsItIsAccepted() {
    for (int seed = 1; seed <= 20; seed++) {
      SimulatedCluster world = new SimulatedCluster(seed, 3, 2, Events.NONE);
      world.time().pass(5_000);
      JobId id = new JobId("%016x".formatted(seed));
      var answers = world.submitAt("vm-0", id, SMALL).thenApply(accepted -> ask(world, id));
      world.time().pass(1_000);
      assertThat(answers.join().stream().map(CompletableFuture::join).toList())
          .containsExactly(RequestOutcome.DONE, RequestOutcome.DONE);
    }
  }

  @Test
  void isDeniedIfNobodyHandedItIn() {
    SimulatedCluster world = new SimulatedCluster(1, 2, 2, Events.NONE);
    world.time().pass(5_000);
    var answer = world.find("vm-1", new JobId("%016x".formatted(9)));
    world.time().pass(1_000);
    assertThat(answer.join()).isEqualTo(RequestOutcome.NO_SUCH_JOB);
  }

  @Test
  void isNotDeniedWhileTheLogDoesNotAnswer() {
    SimulatedCluster world = new SimulatedCluster(1, 2, 2, Events.NONE);
    world.time().pass(5_000);
    world.setLogFault("vm-1", LogFault.REFUSES);
    var answer = world.find("vm-1", new JobId("%016x".formatted(9)));
    world.time().pass(1_000);
    assertThat(answer.join()).isEqualTo(RequestOutcome.NOT_DONE);
  }

  @Test
  void isShownAsOverAsSoonAsItsEndIsStored() {
    for (int seed = 1; seed <= 20; seed++) {
      SimulatedCluster world = new SimulatedCluster(seed, 3, 2, Events.NONE);
      world.time().pass(5_000);
      JobId id = new JobId("%016x".formatted(seed));
      var accepted = world.submitAt("vm-0", id, SMALL);
      while (!accepted.isDone() || !world.phases(id).contains(JobPhase.COMPLETED)) {
        world.time().pass(1);
      }
      for (String name : world.vmNames()) {
        var answer = world.find(name, id);
        world.time().pass(100);
        assertThat(answer.join()).isEqualTo(RequestOutcome.DONE);
      }
      assertThat(world.phases(id))
          .containsExactly(JobPhase.COMPLETED, JobPhase.COMPLETED, JobPhase.COMPLETED);
    }
  }

  private static List<CompletableFuture<RequestOutcome>> ask(SimulatedCluster world, JobId id) {
    return List.of(world.find("vm-1", id), world.find("vm-2", id));
  }
}
