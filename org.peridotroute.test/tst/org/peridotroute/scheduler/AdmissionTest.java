package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.node.RequestOutcome;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;

/**
 * Guards against refusals that are not true: a refused job must never start, and a job that was
 * accepted once must not be refused when its caller sends it again, at this VM or another.
 */
final class AdmissionTest {
  private static final int WORKERS = 4;

  private static JobId id(int number) {
    return new JobId("%016x".formatted(number));
  }

  private static JobRequest job(int number) {
    return job(number, 2_000);
  }

  private static JobRequest job(int number, long millis) {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(4)
            .setNeed(new Capacity(8_000, 8_000, 8))
            .setEstimateMillis(millis)
            .build();
    return new JobRequest("payload " + number, List.of(step), Schedule.ONCE);
  }

  /** Sends far more jobs than the workers can run in time, and returns the outcome of each. */
  private static Map<JobId, CompletableFuture<RequestOutcome>> overload(
      SimulatedCluster cluster, int jobs) {
    List<String> vms = cluster.vmNames();
    Map<JobId, CompletableFuture<RequestOutcome>> outcomes = new HashMap<>();
    for (int i = 1; i <= jobs; i++) {
      outcomes.put(id(i), cluster.callers().submitAt(vms.get(i % vms.size()), id(i), job(i)));
      cluster.time().pass(200);
    }
    cluster.time().pass(2_500);
    return outcomes;
  }

  private static SimulatedCluster cluster(int seed, Set<Feature> features) {
    SimulatedCluster cluster = new SimulatedCluster(seed, 3, WORKERS, Events.NONE, features);
    cluster.time().pass(4_000);
    return cluster;
  }

  private static List<JobId> refused(Map<JobId, CompletableFuture<RequestOutcome>> outcomes) {
    List<JobId> refused = new ArrayList<>();
    outcomes.forEach(
        (id, outcome) -> {
          if (outcome.join() == RequestOutcome.REFUSED) {
            refused.add(id);
          }
        });
    return refused;
  }

  @Test
  void aRefusedJobNeverStarts() {
    SimulatedCluster cluster = cluster(1, Set.of(Feature.ADMISSION));
    Map<JobId, CompletableFuture<RequestOutcome>> outcomes = overload(cluster, 120);
    List<JobId> refused = refused(outcomes);
    assertThat(refused).isNotEmpty();
    cluster.time().pass(200_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    for (JobId id : refused) {
      assertThat(cluster.phases(id)).isEmpty();
    }
  }

  @Test
  void aJobThatWasAcceptedIsNotRefusedWhenItIsSentAgain() {
    SimulatedCluster cluster = cluster(2, Set.of(Feature.ADMISSION));
    Map<JobId, CompletableFuture<RequestOutcome>> outcomes = overload(cluster, 120);
    List<JobId> refused = refused(outcomes);
    List<CompletableFuture<RequestOutcome>> repeats = new ArrayList<>();
    for (String vm : cluster.vmNames()) {
      for (JobId id : outcomes.keySet()) {
        if (!refused.contains(id)) {
          repeats.add(cluster.callers().submitAt(vm, id, job(1)));
        }
      }
    }
    cluster.time().pass(2_500);
    for (CompletableFuture<RequestOutcome> repeat : repeats) {
      assertThat(repeat.join()).isEqualTo(RequestOutcome.DONE);
    }
  }

  @Test
  void aJobIsNotRefusedForTheLoadOfAnotherService() {
    SimulatedCluster cluster = cluster(4, Set.of(Feature.ADMISSION));
    cluster.configure(Map.of(0, SimulatedCluster.SERVICE, 1, "press"));
    var unused = cluster.addWorkers("press", WORKERS);
    cluster.time().pass(3_000);
    for (int i = 1; i <= 6; i++) {
      cluster.submit(id(i), job(i, 60_000), 0);
      cluster.time().pass(800);
    }
    for (int i = 1_001; i <= 1_008; i++) {
      cluster.submit(id(i), job(i, 6_000), 1);
      cluster.time().pass(800);
      assertThat(cluster.accepted()).contains(id(i));
    }
  }

  @Test
  void refusesNobodyWithoutTheFeature() {
    SimulatedCluster cluster = cluster(3, Set.of());
    assertThat(refused(overload(cluster, 120))).isEmpty();
  }
}
