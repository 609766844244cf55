package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;

/**
 * Pattern: a worker leaves at 1.6 s notice under runs that need several seconds more. Guards
 * against losing the progress of runs that save it, and against stops that save nothing.
 */
final class LeavingWorkerTest {
  private static final long NOTICE_MILLIS = 1_600;
  private static final long UNLIST_MILLIS = 2_600;
  private static final long RUN_MILLIS = 8_000;

  /** Time for which the tasks have run when the worker announces that it leaves. */
  private static final long DONE_MILLIS = 4_000;

  private final List<String> names = new ArrayList<>();
  private final Events events = (level, name, fields) -> names.add(name);

  private static JobId id(int number) {
    return new JobId("%016x".formatted(number));
  }

  private static JobRequest job(int tasks, boolean saves) {
    return new JobRequest(
        "payload",
        List.of(
            StepSpec.newBuilder()
                .setCount(tasks)
                .setNeed(new Capacity(1_000, 1_000, 1))
                .setCheckpoints(saves)
                .setEstimateMillis(RUN_MILLIS)
                .build()),
        Schedule.ONCE);
  }

  private SimulatedCluster clusterWith(int tasks, boolean saves) {
    SimulatedCluster cluster = new SimulatedCluster(1, 3, 12, events, Set.of(Feature.STOP_HISTORY));
    cluster.time().pass(4_000);
    cluster.submit(id(1), job(tasks, saves), 1);
    cluster.time().pass(DONE_MILLIS);
    return cluster;
  }

  /** Lets the worker with the fewest runs leave, at least one. */
  private static void leaveBusyWorker(SimulatedCluster cluster) {
    WorkerId busy =
        cluster.workerIds().stream()
            .filter(worker -> cluster.usedCapacity(worker).accelerators() > 0)
            .min(Comparator.comparingLong(worker -> cluster.usedCapacity(worker).accelerators()))
            .orElseThrow();
    cluster.leave(busy, NOTICE_MILLIS, UNLIST_MILLIS);
  }

  private long countMoves() {
    return names.stream().filter(name -> name.equals("run-moved")).count();
  }

  // A run that started from the beginning would need 8 s more.
  @Test
  void savingRunKeepsItsProgress() {
    SimulatedCluster cluster = clusterWith(33, true);
    leaveBusyWorker(cluster);
    cluster.time().pass(RUN_MILLIS - DONE_MILLIS + 2_000);
    assertThat(countMoves()).isEqualTo(1);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }

  // Of 80 runs five may move at a time.
  @Test
  void savingRunsOfAFullWorkerGoOnElsewhere() {
    SimulatedCluster cluster = clusterWith(80, true);
    leaveBusyWorker(cluster);
    cluster.time().pass(NOTICE_MILLIS);
    assertThat(countMoves()).isAtLeast(5);
    cluster.time().pass(60_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }

  @Test
  void runsThatSaveNothingAreNotStopped() {
    SimulatedCluster cluster = clusterWith(80, false);
    leaveBusyWorker(cluster);
    cluster.time().pass(60_000);
    assertThat(countMoves()).isEqualTo(0);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }

  // Without capacity elsewhere a stop would only end the run sooner.
  @Test
  void runsStayIfThereIsNoCapacityElsewhere() {
    SimulatedCluster cluster = clusterWith(96, true);
    leaveBusyWorker(cluster);
    cluster.time().pass(NOTICE_MILLIS);
    assertThat(countMoves()).isEqualTo(0);
    cluster.time().pass(60_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }
}
