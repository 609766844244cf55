package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;

/**
 * Guards against starting a task that crashes its workers again and again, and against failing jobs
 * whose tasks only shared a worker with it or were hit by other failures.
 */
final class CrashingTaskTest {
  private static final int VMS = 3;
  private static final int WORKERS = 12;
  private static final long BOOT_MILLIS = 4_000;
  private static final long SETTLE_MILLIS = 90_000;

  /** Time from the start of a task to the crash of its worker. */
  private static final long CRASH_AFTER_MILLIS = 40;

  private static final JobId CULPRIT = id(0xdead);

  private static JobId id(long number) {
    return new JobId("%016x".formatted(number));
  }

  private static StepSpec.Builder step(int count, int accelerators) {
    return StepSpec.newBuilder()
        .setCount(count)
        .setNeed(new Capacity(accelerators * 1_000L, accelerators * 1_000L, accelerators))
        .setEstimateMillis(4_000);
  }

  private static JobRequest job(StepSpec.Builder step) {
    return new JobRequest("payload", List.of(step.build()), Schedule.ONCE);
  }

  private static SimulatedCluster newCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, VMS, WORKERS, Events.NONE);
    cluster.time().pass(BOOT_MILLIS);
    return cluster;
  }

  /** Submits the job at fault, whose task of the given index crashes its workers. */
  private static void submitCulprit(SimulatedCluster cluster, StepSpec.Builder step, int index) {
    cluster.setCrashing(new TaskId(new StepId(CULPRIT, 0, 0), index), CRASH_AFTER_MILLIS);
    cluster.submit(CULPRIT, job(step), 1);
  }

  /** Submits jobs that can be done, a few of them each second. */
  private static List<JobId> submitOthers(SimulatedCluster cluster, int count) {
    Random random = new Random(count);
    List<JobId> others = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      JobId id = id(i);
      others.add(id);
      cluster.submit(id, job(step(1 + random.nextInt(8), 1 + random.nextInt(2))), 1);
      cluster.time().pass(random.nextInt(500));
    }
    return others;
  }

  private static void assertPhase(SimulatedCluster cluster, List<JobId> jobs, JobPhase expected) {
    for (JobId job : jobs) {
      assertThat(cluster.phases(job)).contains(expected);
    }
  }

  private static void assertGivenUp(SimulatedCluster cluster) {
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
    assertPhase(cluster, List.of(CULPRIT), JobPhase.FAILED);
  }

  // A task that crashes worker after worker is started without limit, and its job never ends.
  @Test
  void givesUpATaskThatCrashesEveryWorkerThatStartsIt() {
    SimulatedCluster cluster = newCluster(1);
    submitCulprit(cluster, step(1, 8), 0);
    cluster.time().pass(SETTLE_MILLIS);
    assertGivenUp(cluster);
  }

  // As above, and the tasks packed onto the same workers lose their runs each time.
  @Test
  void completesTheJobsThatShareWorkersWithIt() {
    SimulatedCluster cluster = newCluster(2);
    List<JobId> others = submitOthers(cluster, 12);
    submitCulprit(cluster, step(8, 1), 0);
    others.addAll(submitOthers(cluster, 30));
    cluster.time().pass(SETTLE_MILLIS);
    assertGivenUp(cluster);
    assertPhase(cluster, others, JobPhase.COMPLETED);
  }

  // A gang restarts whole whenever one of its members crashes a worker.
  @Test
  void givesUpAGangWithAMemberThatCrashesItsWorkers() {
    SimulatedCluster cluster = newCluster(3);
    submitCulprit(cluster, step(4, 4).setGang(true).setSameRack(true), 2);
    List<JobId> others = submitOthers(cluster, 20);
    cluster.time().pass(SETTLE_MILLIS);
    assertGivenUp(cluster);
    assertPhase(cluster, others, JobPhase.COMPLETED);
  }

  // Services have no limit of attempts, so that one crashes workers for as long as it is wanted.
  @Test
  void givesUpAServiceThatCrashesItsWorkers() {
    SimulatedCluster cluster = newCluster(4);
    submitCulprit(cluster, step(2, 1).setService(true), 1);
    List<JobId> others = submitOthers(cluster, 20);
    cluster.time().pass(SETTLE_MILLIS);
    assertGivenUp(cluster);
    assertPhase(cluster, others, JobPhase.COMPLETED);
  }

  // The count of crashes is lost when the planner is replaced between a crash and the next start.
  @ParameterizedTest
  @ValueSource(longs = {5, 6, 7, 8, 9})
  void countsCrashesAcrossChangesOfThePlanner(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    submitCulprit(cluster, step(1, 8), 0);
    Random random = new Random(seed);
    for (int i = 0; i < 8; i++) {
      cluster.time().pass(2_000 + random.nextInt(2_500));
      cluster.planner().ifPresent(planner -> cluster.kill(planner, 500));
    }
    cluster.time().pass(SETTLE_MILLIS);
    assertGivenUp(cluster);
  }

  // A worker that restarts under its former id looks like one that never took the start.
  @ParameterizedTest
  @ValueSource(longs = {10, 11, 12})
  void countsCrashesOfWorkersThatRestartUnderTheSameId(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    cluster.setCrashedWorkersKeepId();
    submitCulprit(cluster, step(1, 8), 0);
    List<JobId> others = submitOthers(cluster, 20);
    cluster.time().pass(SETTLE_MILLIS);
    assertGivenUp(cluster);
    assertPhase(cluster, others, JobPhase.COMPLETED);
  }

  // Starts that are answered late or never are repeated, and each repeat may crash another worker.
  @ParameterizedTest
  @ValueSource(longs = {13, 14, 15, 16, 17})
  void countsStartsThatAreRepeatedOrCarriedOutLate(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    cluster.setLateCalls(0.3);
    submitCulprit(cluster, step(1, 4), 0);
    cluster.time().pass(30_000);
    cluster.setLateCalls(0);
    cluster.time().pass(SETTLE_MILLIS);
    assertGivenUp(cluster);
  }

  // Jobs that can be done fail because the workers under them crash in numbers, as in a power loss.
  @ParameterizedTest
  @ValueSource(longs = {18, 19, 20, 21, 22})
  void keepsJobsWhoseWorkersCrashTogether(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    Random random = new Random(seed);
    List<JobId> others = submitOthers(cluster, 30);
    for (int i = 0; i < 6; i++) {
      List<WorkerId> workers = cluster.workerIds();
      workers.stream().filter(worker -> random.nextInt(3) > 0).forEach(cluster::crashWorker);
      cluster.time().pass(3_500 + random.nextInt(2_000));
    }
    cluster.time().pass(SETTLE_MILLIS);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
    assertPhase(cluster, others, JobPhase.COMPLETED);
  }

  // Crashes are missed or counted twice while planners, the log and the path to workers fail.
  @ParameterizedTest
  @MethodSource("org.peridotroute.scheduler.RandomFaults#seeds")
  void keepsToTheLimitUnderRandomFaults(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    Random random = new Random(seed);
    submitCulprit(cluster, step(1 + random.nextInt(6), 1 + random.nextInt(3)), 0);
    cluster.time().pass(1_000);
    List<JobId> others = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      JobId id = id(i);
      others.add(id);
      cluster.submit(id, job(step(1 + random.nextInt(6), 1 + random.nextInt(2))), 1);
      if (random.nextInt(3) == 0) {
        RandomFaults.inject(cluster, random);
      }
      cluster.time().pass(random.nextInt(1_500));
    }
    RandomFaults.endAll(cluster);
    cluster.time().pass(SETTLE_MILLIS);
    // A caller whose VM was killed gets no answer and does not retry.
    others.retainAll(cluster.accepted());
    assertGivenUp(cluster);
    assertPhase(cluster, others, JobPhase.COMPLETED);
  }
}
