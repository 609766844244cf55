package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.node.RequestOutcome;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/** What a VM knows and does right after its process has started again. */
final class RestartTest {
  /** Well under the silence after which another VM would take over, which is 1,600 ms. */
  private static final long AT_ONCE_MILLIS = 500;

  private static final long DOWN_MILLIS = 1_000;

  @Test
  void deniesNoJobBeforeItHasReadTheLog() {
    SimulatedCluster world = new SimulatedCluster(1, 1, 2, Events.NONE);
    world.time().pass(4_000);
    world.setLogFault("vm-0", LogFault.SILENT);
    world.kill("vm-0", 10);
    world.time().pass(100);
    var answer = world.find("vm-0", new JobId("%016x".formatted(1)));
    world.time().pass(100);
    assertThat(answer.join()).isEqualTo(RequestOutcome.NOT_DONE);
  }

  @Test
  void takesItsOwnRoleBackAtOnce() {
    for (int seed = 1; seed <= 10; seed++) {
      SimulatedCluster world = new SimulatedCluster(seed, 3, 2, Events.NONE);
      world.time().pass(5_000);
      world.vmNames().forEach(name -> world.kill(name, DOWN_MILLIS));
      world.time().pass(DOWN_MILLIS + AT_ONCE_MILLIS);
      assertThat(world.planner().isPresent()).isTrue();
    }
  }
}
