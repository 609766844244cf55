package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.ProposedJob;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.node.JobExplanation;
import org.peridotroute.scheduler.plan.PlacementExplanation;
import org.peridotroute.scheduler.plan.PlacementExplanation.Outcome;
import org.peridotroute.standin.world.SimulatedCluster;

/** Asks simulated VMs where jobs would go, and compares the answers with what happens then. */
final class JobExplanationTest {
  private final List<String> events = new ArrayList<>();

  private SimulatedCluster cluster() {
    SimulatedCluster cluster =
        new SimulatedCluster(
            1, 3, 8, (level, name, fields) -> events.add(name + " " + Arrays.toString(fields)));
    cluster.time().pass(4_000);
    return cluster;
  }

  private static JobId id(int number) {
    return new JobId("%016x".formatted(number));
  }

  private static JobRequest request(int tasks, int accelerators, boolean gang, long millis) {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(tasks)
            .setNeed(new Capacity(accelerators * 1_000L, 1_000, accelerators))
            .setEstimateMillis(millis)
            .setGang(gang)
            .setSameRack(gang)
            .build();
    return new JobRequest("payload", List.of(step), Schedule.ONCE);
  }

  private static JobExplanation.Explained ask(SimulatedCluster cluster, ProposedJob job) {
    return (JobExplanation.Explained)
        cluster.explainer(cluster.planner().orElseThrow()).explain(job);
  }

  /** Guards against an answer for a job that was not sent that differs from its placement. */
  @Test
  void jobThatIsSentGoesWhereItWasSaidToGo() {
    SimulatedCluster cluster = cluster();
    JobRequest gang = request(4, 8, true, 2_000);
    JobExplanation.Explained explained = ask(cluster, new ProposedJob("org", "queue-1", gang));
    assertThat(explained.steps()).hasSize(1);
    PlacementExplanation step = explained.steps().get(0);
    assertThat(step.outcome()).isEqualTo(Outcome.STARTS);
    cluster.submit(id(1), gang, 1);
    cluster.time().pass(2_000);
    String placed =
        events.stream().filter(event -> event.startsWith("step-placed")).findFirst().orElseThrow();
    step.starts().values().forEach(worker -> assertThat(placed).contains(worker.value()));
  }

  /** Guards against an accepted job whose wait is not explained, or is called a start. */
  @Test
  void acceptedJobThatWaits() {
    SimulatedCluster cluster = cluster();
    cluster.submit(id(1), request(8, 8, false, 30_000), 1);
    cluster.time().pass(2_000);
    cluster.submit(id(2), request(2, 8, true, 2_000), 2);
    cluster.time().pass(2_000);
    String planner = cluster.planner().orElseThrow();
    JobExplanation.Explained explained =
        (JobExplanation.Explained) cluster.explainer(planner).explain(id(2));
    assertThat(explained.phase()).isEqualTo(JobPhase.PENDING);
    assertThat(explained.basis().vm()).isEqualTo(planner);
    assertThat(explained.basis().configurationVersion()).isEqualTo(1);
    assertThat(explained.basis().viewAgeMillis()).isIn(Range.closed(0L, 3_000L));
    PlacementExplanation step = explained.steps().get(0);
    assertThat(step.outcome()).isEqualTo(Outcome.WAITS);
    assertThat(step.waitMillis()).isIn(Range.closed(20_000L, 30_000L));
    assertThat(step.racks().stream().mapToInt(rack -> rack.fittingNow()).sum()).isEqualTo(0);
    JobExplanation.Explained running =
        (JobExplanation.Explained) cluster.explainer(planner).explain(id(1));
    assertThat(running.phase()).isEqualTo(JobPhase.RUNNING);
    assertThat(running.steps()).isEmpty();
  }

  /** Guards against workers that are left out of the racks without being mentioned. */
  @Test
  void workersOfAClosedDataCentreAreCounted() {
    SimulatedCluster cluster = cluster();
    cluster.setClosed("dc-0", true);
    cluster.time().pass(3_000);
    JobExplanation.Explained explained =
        ask(cluster, new ProposedJob("org", "queue-0", request(4, 8, true, 2_000)));
    assertThat(explained.basis().closedDataCentres()).containsExactly("dc-0");
    assertThat(explained.unavailableByRack()).containsExactly("rack-0", 4);
    assertThat(explained.steps().get(0).racks().stream().map(rack -> rack.rack()).toList())
        .containsExactly("rack-1");
  }

  /** Guards against an answer of a VM that has no view of the workers. */
  @Test
  void vmThatDoesNotPlanNamesThePlanner() {
    SimulatedCluster cluster = cluster();
    String planner = cluster.planner().orElseThrow();
    String other =
        cluster.vmNames().stream().filter(name -> !name.equals(planner)).findFirst().orElseThrow();
    assertThat(cluster.explainer(other).explain(id(1)))
        .isEqualTo(new JobExplanation.NotPlanning(planner));
    assertThat(cluster.explainer(planner).explain(id(1))).isEqualTo(new JobExplanation.NoSuchJob());
  }

  /** Guards against an explanation of a job that would not be accepted. */
  @Test
  void jobWithoutQueueOrOrganisationIsRefused() {
    SimulatedCluster cluster = cluster();
    JobRequest request = request(1, 1, false, 1_000);
    for (ProposedJob job :
        List.of(
            new ProposedJob("org", "none", request),
            new ProposedJob("none", "queue-1", request),
            new ProposedJob("", "queue-1", request))) {
      assertThat(cluster.explainer(cluster.planner().orElseThrow()).explain(job))
          .isInstanceOf(JobExplanation.Refused.class);
    }
  }

  /** Guards against explanations that change later decisions, as by a demand that never came. */
  @Test
  void askingChangesNothing() {
    List<String> undisturbed = run(false);
    List<String> asked = run(true);
    assertThat(asked).isEqualTo(undisturbed);
    assertThat(
            new TreeSet<>(
                undisturbed.stream().map(event -> event.substring(0, event.indexOf(' '))).toList()))
        .containsAtLeast("step-placed", "run-preempted", "run-ended");
  }

  private List<String> run(boolean asking) {
    events.clear();
    SimulatedCluster cluster = cluster();
    for (int i = 0; i < 60; i++) {
      cluster.submit(id(i), request(1 + i % 8, 1 + i % 5, i % 2 == 0, 1_000 + 100 * i), i % 3);
      for (int j = 0; j < 10; j++) {
        cluster.time().pass(20);
        if (asking) {
          ask(cluster, new ProposedJob("org", "queue-" + j % 3, request(8, 8, j % 2 == 0, 9_000)));
          cluster.explainer(cluster.planner().orElseThrow()).explain(id(i));
        }
      }
    }
    cluster.time().pass(30_000);
    return List.copyOf(events);
  }
}
