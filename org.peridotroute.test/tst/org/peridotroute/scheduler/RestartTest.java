package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.node.RequestOutcome;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/**
 * Guards against two faults right after a restart of a VM's process: reporting a job as missing
 * before the log has been read, and leaving the planner role vacant until it times out.
 */
final class RestartTest {
  /** Well below the planner timeout of 1,600 ms, after which another VM would take over. */
  private static final long ROLE_CLAIM_MILLIS = 500;

  private static final long DOWN_MILLIS = 1_000;

  @Test
  void doesNotReportAJobAsMissingBeforeItHasReadTheLog() {
    SimulatedCluster cluster = new SimulatedCluster(1, 1, 2, Events.NONE);
    cluster.time().pass(4_000);
    cluster.setLogFault("vm-0", LogFault.SILENT);
    cluster.kill("vm-0", 10);
    cluster.time().pass(100);
    var outcome = cluster.find("vm-0", new JobId("%016x".formatted(1)));
    cluster.time().pass(100);
    assertThat(outcome.join()).isEqualTo(RequestOutcome.NOT_DONE);
  }

  @Test
  void claimsItsFormerRoleAtOnce() {
    for (int seed = 1; seed <= 10; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 3, 2, Events.NONE);
      cluster.time().pass(5_000);
      cluster.vmNames().forEach(name -> cluster.kill(name, DOWN_MILLIS));
      cluster.time().pass(DOWN_MILLIS + ROLE_CLAIM_MILLIS);
      assertThat(cluster.planner().isPresent()).isTrue();
    }
  }
}
