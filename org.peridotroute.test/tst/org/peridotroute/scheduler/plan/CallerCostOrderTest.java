package org.peridotroute.scheduler.plan;

import static com.google.common.truth.Truth.assertThat;
import static org.peridotroute.scheduler.plan.PlanFixtures.NOW;
import static org.peridotroute.scheduler.plan.PlanFixtures.lasting;
import static org.peridotroute.scheduler.plan.PlanFixtures.ofOrganisation;
import static org.peridotroute.scheduler.plan.PlanFixtures.pending;
import static org.peridotroute.scheduler.plan.PlanFixtures.withTimes;
import static org.peridotroute.scheduler.plan.PlanFixtures.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.PolicySettings;
import org.peridotroute.scheduler.plan.PlanView.PendingStep;

/** Checks the order by caller cost under the loads of contended deployments. */
final class CallerCostOrderTest {
  private static final PolicySettings CALLER_COST =
      new PolicySettings(Set.of(Feature.CALLER_COST), 0, 1, 0, Map.of());

  private static List<Integer> sorted(PolicySettings policy, PendingStep... steps) {
    PlanView view =
        new PlanView(NOW, List.of(worker(0, 0, 0)), List.of(steps), List.of(), 0, List.of());
    return List.of(steps).stream()
        .sorted(QueueOrder.of(policy).comparator(view))
        .map(step -> Integer.parseInt(step.step().job().value(), 16))
        .toList();
  }

  /** Returns a step that must start within the given times to be on time, or to be of use. */
  private static PendingStep step(
      int job, int priority, boolean guaranteed, long onTimeMillis, long usefulMillis) {
    PendingStep step = pending(job, priority, 1, 8, false, false);
    long endMillis = NOW + step.remainingMillis();
    return withTimes(
        step, guaranteed, NOW - 1_000, endMillis + onTimeMillis, endMillis + usefulMillis);
  }

  /** Guards against a cost that overrides priorities, guarantees or the rule for expired steps. */
  @Test
  void threeQueuesCompeteForFullFleet() {
    PendingStep[] steps = {
      step(1, 0, false, -9_000, -1),
      step(2, 2, false, 0, 40_000),
      step(3, 1, false, 19_000, 60_000),
      step(4, 1, false, 200, 40_000),
      step(5, 1, true, -9_000, -1),
      step(6, 1, false, -1, 40_000),
      step(7, 0, false, 9_000, 40_000),
    };
    assertThat(sorted(CALLER_COST, steps)).containsExactly(7, 5, 4, 3, 6, 2, 1).inOrder();
  }

  /** Guards against urgent steps that miss their objective while others still had time. */
  @Test
  void burstOfTheUrgentQueue() {
    PendingStep[] steps = {
      step(1, 0, false, 1_500, 9_000),
      step(2, 0, false, -100, 8_000),
      step(3, 0, false, 500, 9_000),
      step(4, 0, false, -7_000, -1),
      step(5, 0, true, 1_500, 9_000),
    };
    assertThat(sorted(CALLER_COST, steps)).containsExactly(5, 3, 1, 2, 4).inOrder();
  }

  /** Guards against a change of the order of deployments without the feature. */
  @Test
  void defaultOrderIsUnchanged() {
    PendingStep[] steps = {
      step(1, 0, false, -9_000, -1),
      step(2, 2, false, 0, 40_000),
      lasting(step(3, 1, false, 19_000, 60_000), 2_600),
      step(9, 1, false, 19_000, 60_000),
      step(8, 1, false, 200, 40_000),
      step(5, 1, true, -9_000, -1),
      step(6, 1, false, -1, 40_000),
      step(7, 0, false, 9_000, 40_000),
    };
    assertThat(sorted(PolicySettings.NONE, steps))
        .containsExactly(7, 5, 8, 9, 3, 6, 2, 1)
        .inOrder();
  }

  /** Returns a step that is accepted at the given time after {@code NOW}. */
  private static PendingStep arriving(
      int job, String organisation, int tasks, boolean gang, long afterMillis) {
    long since = NOW + afterMillis;
    PendingStep step = lasting(pending(job, 2, tasks, 1, gang, false), 6_000);
    return ofOrganisation(
        withTimes(step, false, since, since + 21_000, since + 63_000), organisation);
  }

  /** Counts the steps that complete at least that usefully, by the given key. */
  private static <K> Map<K, Long> countCompleted(
      List<PendingStep> steps, PlanView.Usefulness worst, Function<PendingStep, K> key) {
    return new FleetModel(new PlanSettings(3, 2_900, 400, CALLER_COST), 4)
        .complete(steps, NOW + 120_000, worst).stream()
            .collect(Collectors.groupingBy(key, Collectors.counting()));
  }

  /** Guards against one organisation that fills the fleet and makes the jobs of all others late. */
  @Test
  void organisationSendsTenTimesItsShare() {
    List<PendingStep> steps = new ArrayList<>();
    for (int second = 0; second < 60; second += 2) {
      for (int i = 0; i < 10; i++) {
        steps.add(arriving(steps.size(), "loud", 2, false, second * 1_000L));
      }
      steps.add(arriving(steps.size(), "quiet-1", 2, false, second * 1_000L));
      steps.add(arriving(steps.size(), "quiet-2", 2, false, second * 1_000L));
    }
    Map<String, Long> onTime =
        countCompleted(steps, PlanView.Usefulness.ON_TIME, step -> step.job().organisation());
    assertThat(onTime).containsAtLeast("quiet-1", 30L, "quiet-2", 30L);
    assertThat(onTime.get("loud")).isAtLeast(30L);
  }

  /** Returns small steps in a steady stream, and four wide steps and four gangs among them. */
  private static List<PendingStep> smallAndWideSteps(
      int smallPerSecond, String smallOwner, String wideOwner) {
    List<PendingStep> steps = new ArrayList<>();
    for (int second = 0; second < 60; second++) {
      for (int i = 0; i < smallPerSecond; i++) {
        steps.add(arriving(steps.size(), smallOwner, 1, false, second * 1_000L));
      }
      if (second % 15 == 0) {
        steps.add(arriving(steps.size(), wideOwner, 48, false, second * 1_000L));
        steps.add(arriving(steps.size(), wideOwner, 16, true, second * 1_000L));
      }
    }
    return steps;
  }

  /** Guards against wide steps and gangs that never get what small steps free one by one. */
  @Test
  void wideStepsUnderStreamOfSmallOnes() {
    for (List<PendingStep> steps :
        List.of(smallAndWideSteps(4, "a", "a"), smallAndWideSteps(5, "a", "b"))) {
      assertThat(countCompleted(steps, PlanView.Usefulness.LATE, step -> step.tasks().size()))
          .containsAtLeast(48, 4L, 16, 4L);
      assertThat(countCompleted(steps, PlanView.Usefulness.ON_TIME, step -> step.tasks().size()))
          .containsEntry(16, 4L);
    }
  }
}
