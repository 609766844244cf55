package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.standin.world.SimulatedCluster;

/**
 * Pattern: urgent gangs keep arriving while the fleet is full of background work. Guards against
 * tasks that are stopped again and again, and against stops that the ledger does not record.
 */
final class UrgentBurstTest {
  private static final int WORKERS = 8;
  private static final int MAX_STOPS = 2;

  /** Time within which a guaranteed step must start, by the settings of the cluster. */
  private static final long RECLAIM_MILLIS = 3_400;

  private record Event(String name, Map<String, String> fields) {}

  private final List<Event> log = new ArrayList<>();
  private final Events events =
      (level, name, fields) -> {
        Map<String, String> byName = new HashMap<>();
        for (int i = 0; i + 1 < fields.length; i += 2) {
          byName.put(fields[i].toString(), String.valueOf(fields[i + 1]));
        }
        log.add(new Event(name, byName));
      };

  private static JobId id(int number) {
    return new JobId("%016x".formatted(number));
  }

  private static JobRequest job(int tasks, int accelerators, boolean gang, long millis) {
    return new JobRequest(
        "payload",
        List.of(
            StepSpec.newBuilder()
                .setCount(tasks)
                .setNeed(new Capacity(accelerators * 1_000L, accelerators * 1_000L, accelerators))
                .setGang(gang)
                .setSameRack(gang)
                .setEstimateMillis(millis)
                .build()),
        Schedule.ONCE);
  }

  /** Returns the runs that events name, as task and run. */
  private List<String> runs(String event, String field, String value) {
    return log.stream()
        .filter(entry -> entry.name().equals(event))
        .filter(entry -> field == null || value.equals(entry.fields().get(field)))
        .map(entry -> entry.fields().get("task") + " " + entry.fields().get("run"))
        .toList();
  }

  private Map<String, Integer> stopsByTask() {
    Map<String, Integer> counts = new HashMap<>();
    for (String run : runs("run-preempted", null, null)) {
      counts.merge(run.substring(0, run.indexOf(' ')), 1, Integer::sum);
    }
    return counts;
  }

  private void playBurst(int seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(seed, 3, WORKERS, events, Set.of(Feature.STOP_HISTORY));
    cluster.time().pass(4_000);
    for (int i = 0; i < 6; i++) {
      cluster.submit(id(i), job(20, 1, false, 15_000), 2);
    }
    cluster.time().pass(1_000);
    for (int i = 0; i < 30; i++) {
      cluster.submit(id(1_000 + i), job(2, 8, true, 2_300), 0);
      cluster.time().pass(3_300);
    }
    cluster.time().pass(90_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
  }

  // One task was stopped up to 13 times. None of these gangs is covered by a guarantee.
  @Test
  void burstOfUrgentGangsOnAFullFleetStopsNoTaskMoreThanTwice() {
    for (int seed = 1; seed <= 4; seed++) {
      log.clear();
      playBurst(seed);
      assertThat(stopsByTask()).isNotEmpty();
      stopsByTask().values().forEach(count -> assertThat(count).isAtMost(MAX_STOPS));
      // A run that completes before its stop takes effect loses nothing.
      List<String> stopped = new ArrayList<>(runs("run-preempted", null, null));
      stopped.removeAll(runs("run-ended", "end", "DONE"));
      assertThat(runs("work-lost", "outcome", "PREEMPTED")).containsExactlyElementsIn(stopped);
    }
  }

  // The work of a minute is worth more than one small gang, but a guarantee holds all the same.
  @Test
  void guaranteedGangStartsWithinItsBoundAlthoughTheStopsDoNotPay() {
    SimulatedCluster cluster =
        new SimulatedCluster(1, 3, WORKERS, events, Set.of(Feature.STOP_HISTORY));
    cluster.time().pass(4_000);
    cluster.submit(id(1), job(8 * WORKERS, 1, false, 200_000), 2);
    cluster.time().pass(70_000);
    log.clear();
    cluster.submit(id(2), job(1, 8, true, 2_300), 0);
    cluster.time().pass(RECLAIM_MILLIS);
    List<Event> placed =
        log.stream()
            .filter(entry -> entry.name().equals("step-placed"))
            .filter(entry -> entry.fields().get("job").equals(id(2).toString()))
            .toList();
    assertThat(placed).hasSize(1);
    assertThat(runs("run-preempted", null, null)).hasSize(8);
    assertThat(cluster.oracle().violations()).isEmpty();
  }
}
