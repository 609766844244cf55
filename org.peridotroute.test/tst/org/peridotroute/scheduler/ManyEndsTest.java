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
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/**
 * Guards against running tasks again that are done, but whose ends a worker leaves out of its list
 * because more ends have collected than it lists at once.
 */
final class ManyEndsTest {
  private static final int JOBS = 15;
  private static final int WIDTH = 40;
  private static final long RUN_MILLIS = 8_000;

  private final SimulatedCluster cluster = new SimulatedCluster(1, 3, 1, Events.NONE);

  private static JobId id(int number) {
    return new JobId("%016x".formatted(number));
  }

  private WorkerId startTasks() {
    cluster.time().pass(4_000);
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(WIDTH)
            .setNeed(new Capacity(100, 100, 0))
            .setEstimateMillis(RUN_MILLIS)
            .build();
    for (int i = 1; i <= JOBS; i++) {
      cluster.submit(id(i), new JobRequest("payload", List.of(step), Schedule.ONCE), 1);
    }
    while (cluster.oracle().starts() < JOBS * WIDTH) {
      cluster.time().pass(100);
    }
    return cluster.workerIds().get(0);
  }

  private void expectEachTaskOnce() {
    cluster.time().pass(20_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
    assertThat(cluster.oracle().starts()).isEqualTo(JOBS * WIDTH);
  }

  @Test
  void startsEachTaskOnceAfterItsWorkerWasCutOff() {
    WorkerId worker = startTasks();
    cluster.time().pass(4_000);
    cluster.cut(worker, true);
    cluster.time().pass(5_500);
    cluster.cut(worker, false);
    expectEachTaskOnce();
  }

  // Without the log no end can be acknowledged.
  @Test
  void startsEachTaskOnceAfterAnOutageOfTheLog() {
    startTasks();
    cluster.time().pass(4_000);
    cluster.vmNames().forEach(vm -> cluster.setLogFault(vm, LogFault.REFUSES));
    cluster.time().pass(5_500);
    cluster.vmNames().forEach(vm -> cluster.setLogFault(vm, LogFault.NONE));
    expectEachTaskOnce();
  }

  @Test
  void startsEachTaskOnceAfterAChangeOfPlanner() {
    WorkerId worker = startTasks();
    cluster.time().pass(4_000);
    cluster.cut(worker, true);
    cluster.kill(cluster.planner().orElseThrow(), 60_000);
    cluster.time().pass(5_500);
    cluster.cut(worker, false);
    expectEachTaskOnce();
  }
}
