package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.HostPort;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;

/**
 * Guards against calls to programs of other services: the planner called every program in the list
 * of workers, whatever its service and address.
 */
final class ForeignEntryTest {
  private static void runJob(SimulatedCluster cluster) {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(4)
            .setNeed(new Capacity(1_000, 1_000, 1))
            .setEstimateMillis(1_000)
            .build();
    JobId id = new JobId("%016x".formatted(1));
    cluster.submit(id, new JobRequest("payload", List.of(step), Schedule.ONCE), 1);
    cluster.time().pass(8_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
    assertThat(cluster.oracle().starts()).isEqualTo(4);
  }

  @Test
  void leavesProgramsOfOtherServicesAlone() {
    SimulatedCluster cluster = new SimulatedCluster(1, 2, 4, Events.NONE);
    cluster.listForeign(new WorkerId("relay-1"), HostPort.parse("10.0.9.1:25"));
    cluster.time().pass(4_000);
    runJob(cluster);
  }

  // An exception on the control thread ended the process, and each next one at the same record.
  @Test
  void skipsARecordThatItFailsToHandle() {
    SimulatedCluster cluster = new SimulatedCluster(1, 2, 2, Events.NONE);
    cluster.listUnexpected();
    cluster.time().pass(4_000);
    cluster.listUnexpected();
    cluster.setListed(new WorkerId("w-0"), true);
    runJob(cluster);
  }

  // Workers at one address are asked which of them lives.
  @Test
  void leavesAProgramOfAnotherServiceAtTheAddressOfAWorkerAlone() {
    SimulatedCluster cluster = new SimulatedCluster(1, 2, 4, Events.NONE);
    cluster.listForeign(new WorkerId("relay-1"), HostPort.parse("10.0.0.0:1"));
    cluster.time().pass(4_000);
    cluster.setListed(new WorkerId("w-0"), true);
    runJob(cluster);
  }
}
