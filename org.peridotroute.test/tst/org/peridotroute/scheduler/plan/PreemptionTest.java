package org.peridotroute.scheduler.plan;

import static com.google.common.truth.Truth.assertThat;
import static org.peridotroute.scheduler.plan.PlanFixtures.NOW;
import static org.peridotroute.scheduler.plan.PlanFixtures.pending;
import static org.peridotroute.scheduler.plan.PlanFixtures.running;
import static org.peridotroute.scheduler.plan.PlanFixtures.stepId;
import static org.peridotroute.scheduler.plan.PlanFixtures.waitingSince;
import static org.peridotroute.scheduler.plan.PlanFixtures.withTimes;
import static org.peridotroute.scheduler.plan.PlanFixtures.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.PolicySettings;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.plan.PlanView.PendingStep;
import org.peridotroute.scheduler.plan.PlanView.RunningTask;
import org.peridotroute.scheduler.plan.PlanView.Usefulness;
import org.peridotroute.scheduler.plan.PlanView.WorkerView;

/**
 * Pattern: bursts of urgent gangs on a fleet that is full of less urgent work. Guards against stops
 * that cost callers more than they gain, and against tasks that are stopped again and again.
 */
final class PreemptionTest {
  private static final GangFirstPlacer PLACER =
      new GangFirstPlacer(
          new PlanSettings(
              3, 2_900, 400, new PolicySettings(Set.of(Feature.STOP_HISTORY), 0, 1, 0, Map.of())));

  private final List<WorkerView> workers = new ArrayList<>();
  private final List<RunningTask> running = new ArrayList<>();
  private List<CapacityClaim> claims = List.of();

  private void addFullWorkers(int count) {
    for (int i = 0; i < count; i++) {
      workers.add(worker(i, 0, 0));
    }
  }

  private List<PlacementDecision> decide(PlanView.StopLimits limits, PendingStep... steps) {
    return PLACER.decide(
        new PlanView(NOW, workers, List.of(steps), running, 0, claims, Map.of(), limits));
  }

  private List<JobId> stoppedJobs(PlanView.StopLimits limits, PendingStep... steps) {
    return decide(limits, steps).stream()
        .filter(decision -> decision instanceof PlacementDecision.Preempt)
        .map(decision -> ((PlacementDecision.Preempt) decision).task().job())
        .toList();
  }

  private List<JobId> stoppedJobs(PendingStep... steps) {
    return stoppedJobs(PlanView.StopLimits.NONE, steps);
  }

  private static JobId job(int number) {
    return stepId(number).job();
  }

  /** Returns an urgent gang without guarantee that is late unless it starts within 1.5 s. */
  private static PendingStep urgentGang(int job, int count, int accelerators) {
    PendingStep gang = pending(job, 0, count, accelerators, true, false);
    return withTimes(
        gang, false, gang.waitingSinceMillis(), gang.objectiveMillis(), gang.expiryMillis());
  }

  private static PendingStep guaranteedGang(long waitedMillis) {
    return waitingSince(pending(1, 0, 1, 8, true, false), NOW - waitedMillis);
  }

  private static RunningTask withRemaining(RunningTask run, long remainingMillis) {
    return new RunningTask(
        run.task(),
        run.run(),
        run.worker(),
        run.held(),
        run.priority(),
        run.guaranteed(),
        run.gang(),
        run.unsavedMillis(),
        remainingMillis);
  }

  private static RunningTask stopped(RunningTask run, int stops) {
    return new RunningTask(
        run.task(),
        run.run(),
        run.worker(),
        run.held(),
        run.priority(),
        run.guaranteed(),
        run.gang(),
        run.unsavedMillis(),
        run.remainingMillis(),
        stops,
        Usefulness.NONE,
        Usefulness.NONE);
  }

  /** Returns a run whose job would be late instead of on time if it were stopped. */
  private static RunningTask losingObjective(RunningTask run, int index) {
    return new RunningTask(
        new TaskId(run.task().step(), index),
        run.run(),
        run.worker(),
        run.held(),
        run.priority(),
        run.guaranteed(),
        run.gang(),
        run.unsavedMillis(),
        run.remainingMillis(),
        0,
        Usefulness.ON_TIME,
        Usefulness.LATE);
  }

  // Six tasks of one step were stopped 11 to 13 times each.
  @Test
  void taskStoppedTwiceIsStoppedAgainOnlyForAGuaranteeThatIsDue() {
    addFullWorkers(1);
    running.add(stopped(running(2, 0, 8, false, 1_000), 2));
    assertThat(stoppedJobs(urgentGang(1, 1, 8))).isEmpty();
    assertThat(stoppedJobs(guaranteedGang(0))).isEmpty();
    assertThat(stoppedJobs(guaranteedGang(1_300))).containsExactly(job(2));
  }

  // Otherwise the member with the fewest stops would end a gang that was stopped often.
  @Test
  void gangIsSparedIfAnyMemberWasStoppedTwice() {
    addFullWorkers(2);
    running.add(running(2, 0, 8, true, 1_000));
    running.add(stopped(running(2, 1, 8, true, 1_000), 2));
    assertThat(stoppedJobs(urgentGang(1, 1, 8))).isEmpty();
  }

  // Otherwise the task that was restarted last has the least unsaved work and is stopped again.
  @Test
  void taskThatWasNeverStoppedIsStoppedBeforeOneThatWas() {
    addFullWorkers(2);
    running.add(stopped(running(2, 0, 8, false, 1_000), 1));
    running.add(running(3, 1, 8, false, 1_500));
    assertThat(stoppedJobs(urgentGang(1, 1, 8))).containsExactly(job(3));
  }

  // Otherwise 72 cores times a minute are thrown away so that one small gang is on time.
  @Test
  void stopThatLosesMoreThanItGainsDoesNotHappen() {
    addFullWorkers(1);
    running.add(running(2, 0, 8, false, 60_000));
    assertThat(stoppedJobs(urgentGang(1, 1, 8))).isEmpty();
    running.set(0, running(2, 0, 8, false, 9_000));
    assertThat(stoppedJobs(urgentGang(1, 1, 8))).containsExactly(job(2));
  }

  // Otherwise work is thrown away although the gang is on time without any stop.
  @Test
  void gangThatIsOnTimeWithoutStopsStopsNothing() {
    addFullWorkers(1);
    running.add(withRemaining(running(2, 0, 8, false, 1_000), 500));
    assertThat(stoppedJobs(urgentGang(1, 1, 8))).isEmpty();
  }

  // Otherwise a gang that is late anyway throws away work of others and gains nothing.
  @Test
  void lateGangStopsOthersOnlyIfItWouldBeOfNoUse() {
    addFullWorkers(1);
    running.add(running(2, 0, 8, false, 1_000));
    PendingStep late = urgentGang(1, 1, 8);
    assertThat(stoppedJobs(withTimes(late, false, NOW - 4_000, NOW, NOW + 8_000))).isEmpty();
    assertThat(stoppedJobs(withTimes(late, false, NOW - 8_000, NOW - 4_000, NOW + 4_000)))
        .containsExactly(job(2));
  }

  // Otherwise a burst makes many background jobs late, each for a few of its tasks.
  @Test
  void victimsAreTakenFromFewJobs() {
    addFullWorkers(8);
    for (int i = 0; i < 8; i++) {
      running.add(losingObjective(running(i < 4 ? 100 + i : 200, i, 8, false, 1_500), i));
    }
    List<JobId> stopped = stoppedJobs(urgentGang(1, 4, 8));
    assertThat(stopped).hasSize(4);
    assertThat(Set.copyOf(stopped)).containsExactly(job(200));
  }

  // Otherwise a gang makes more jobs late than its own completion on time is worth.
  @Test
  void gangThatWouldMakeManyOthersLateStopsNothing() {
    addFullWorkers(5);
    for (int i = 0; i < 5; i++) {
      running.add(losingObjective(running(100 + i, i, 8, false, 0), i));
    }
    assertThat(stoppedJobs(urgentGang(1, 5, 8))).isEmpty();
    assertThat(stoppedJobs(urgentGang(1, 1, 8))).hasSize(1);
  }

  // 20 to 66 runs were stopped for one gang: what other members of a stopped gang free counted for
  // nothing.
  @Test
  void capacityOfAllMembersOfAStoppedGangIsUsed() {
    addFullWorkers(4);
    running.add(running(2, 0, 8, true, 1_000));
    running.add(running(2, 1, 8, true, 1_000));
    running.add(running(3, 2, 8, false, 1_500));
    running.add(running(4, 3, 8, false, 1_500));
    assertThat(stoppedJobs(urgentGang(1, 2, 8))).containsExactly(job(2));
  }

  // Otherwise eight small tasks are stopped where one large one frees the same capacity.
  @Test
  void oneLargeVictimIsStoppedBeforeManySmallOnes() {
    addFullWorkers(2);
    running.add(running(2, 0, 8, false, 1_500));
    for (int i = 0; i < 8; i++) {
      RunningTask small = running(3, 1, 1, false, 1_500);
      running.add(losingNothing(small, i));
    }
    assertThat(stoppedJobs(urgentGang(1, 1, 8))).containsExactly(job(2));
  }

  private static RunningTask losingNothing(RunningTask run, int index) {
    return new RunningTask(
        new TaskId(run.task().step(), index),
        run.run(),
        run.worker(),
        run.held(),
        run.priority(),
        run.guaranteed(),
        run.gang(),
        run.unsavedMillis(),
        run.remainingMillis());
  }

  // A rack where little has to be stopped must win over one that is full of unsaved work.
  @Test
  void rackWithFreeCapacityAndSavedWorkIsPreferred() {
    addFullWorkers(4);
    workers.add(worker(4, 8, 0));
    workers.add(worker(5, 0, 8));
    running.add(running(2, 0, 8, false, 3_000));
    running.add(running(3, 1, 8, false, 3_000));
    running.add(running(4, 5, 8, false, 0));
    assertThat(stoppedJobs(urgentGang(1, 2, 8))).containsExactly(job(4));
  }

  // A guarantee must be met within its bound, whatever the stops cost.
  @Test
  void guaranteedGangThatIsDueStopsOthersAtAnyCost() {
    addFullWorkers(1);
    running.add(losingObjective(running(2, 0, 8, false, 600_000), 0));
    assertThat(stoppedJobs(guaranteedGang(1_200))).isEmpty();
    assertThat(stoppedJobs(guaranteedGang(1_300))).containsExactly(job(2));
  }

  // A new planner that has not polled the workers takes all capacity for occupied.
  @Test
  void nothingIsStoppedBeforeTheWorkersArePolled() {
    addFullWorkers(1);
    running.add(running(2, 0, 8, false, 1_000));
    PlanView.StopLimits unpolled = new PlanView.StopLimits(false, Long.MAX_VALUE);
    assertThat(stoppedJobs(unpolled, urgentGang(1, 1, 8))).isEmpty();
    assertThat(stoppedJobs(unpolled, guaranteedGang(1_300))).isEmpty();
  }

  // After an outage, 90 runs a second were stopped, and what they freed stood idle until the
  // starts had been sent.
  @Test
  void backlogAfterAnOutageStopsNoMoreThanStartsCanFollow() {
    addFullWorkers(8);
    for (int i = 0; i < 8; i++) {
      running.add(running(100 + i, i, 8, false, 1_000));
    }
    PendingStep[] backlog = new PendingStep[8];
    for (int i = 0; i < 8; i++) {
      backlog[i] = urgentGang(1 + i, 1, 8);
    }
    assertThat(stoppedJobs(new PlanView.StopLimits(true, 3), backlog)).hasSize(3);
    claims = List.of(new CapacityClaim(stepId(50), Map.of(new WorkerId("w-0"), 2)));
    assertThat(stoppedJobs(new PlanView.StopLimits(true, 3), backlog)).hasSize(1);
    assertThat(stoppedJobs(backlog)).hasSize(8);
  }

  // A gang that is late and may stop nothing must not starve behind small tasks.
  @Test
  void lateGangThatMayStopNothingHoldsCapacity() {
    workers.add(worker(0, 4, 0));
    workers.add(worker(1, 0, 0));
    running.add(running(2, 0, 4, false, 1_000));
    running.add(withRemaining(running(4, 1, 8, false, 1_000), 8_000));
    PendingStep late = withTimes(urgentGang(1, 1, 8), false, NOW - 4_000, NOW, NOW + 9_000);
    PendingStep singles = PlanFixtures.lasting(pending(3, 2, 4, 1, false, false), 9_000);
    assertThat(decide(PlanView.StopLimits.NONE, late, singles)).isEmpty();
  }
}
