package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.WorkerFault;

/**
 * Guards against quarantines of good workers and work on bad ones while a whole scheduler runs, and
 * against a planner that does not keep its predecessor's quarantines.
 */
final class WorkerConductTest {
  private static final int WORKERS = 40;
  private static final int QUARTER = WORKERS / 4;

  /** Accelerators that are in use at a time, of 320. */
  private static final long BUSY_ACCELERATORS = 300;

  /** Bad workers: one of each tenth, in different racks. */
  private static final List<Integer> TENTH = List.of(2, 13, 21, 38);

  private record Placement(long atMillis, String worker, int priority) {}

  private final Set<String> quarantined = new TreeSet<>();
  private final Set<String> serving = new TreeSet<>();
  private final Set<String> sound = new TreeSet<>();
  private final List<Placement> placements = new ArrayList<>();
  private int mostQuarantined;
  private long lastQuarantineMillis;
  private long lastTrialMillis;
  private long quarantinedMillis;
  private int starts;
  private int refusals;
  private SimulatedCluster cluster;
  private int jobCount;

  private void start(long seed) {
    cluster =
        new SimulatedCluster(
            seed,
            2,
            WORKERS,
            (level, name, fields) -> record(name, fields),
            Set.of(Feature.WORKER_CONDUCT));
    cluster.time().pass(5_000);
  }

  private void record(String name, Object[] fields) {
    switch (name) {
      case "worker-quarantined" -> {
        quarantined.add(String.valueOf(fields[1]));
        serving.add(String.valueOf(fields[1]));
        lastQuarantineMillis = cluster.time().steadyMillis();
        quarantinedMillis = Long.parseLong(field(fields, "millis"));
        mostQuarantined = Math.max(mostQuarantined, serving.size());
      }
      case "worker-on-trial" -> {
        lastTrialMillis = cluster.time().steadyMillis();
        serving.remove(String.valueOf(fields[1]));
      }
      case "worker-doubtful" -> serving.remove(String.valueOf(fields[1]));
      case "worker-sound" -> sound.add(String.valueOf(fields[1]));
      case "run-ended" -> starts++;
      case "start-not-taken" -> refusals++;
      case "step-placed" -> {
        int priority = Integer.parseInt(field(fields, "priority"));
        for (String worker : field(fields, "workers").replaceAll("[\\[\\] ]", "").split(",", -1)) {
          placements.add(new Placement(cluster.time().steadyMillis(), worker, priority));
        }
      }
      default -> {}
    }
  }

  private static String field(Object[] fields, String name) {
    for (int i = 0; i < fields.length; i += 2) {
      if (fields[i].equals(name)) {
        return String.valueOf(fields[i + 1]);
      }
    }
    throw new IllegalArgumentException(name);
  }

  private static WorkerId worker(int number) {
    return new WorkerId("w-" + number);
  }

  private static Set<String> names(List<Integer> numbers) {
    Set<String> names = new TreeSet<>();
    numbers.forEach(number -> names.add("w-" + number));
    return names;
  }

  private static JobRequest job(long estimateMillis) {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount((int) (BUSY_ACCELERATORS * 1_000 / estimateMillis))
            .setNeed(new Capacity(2_000, 4_000, 1))
            .setEstimateMillis(estimateMillis)
            .build();
    return new JobRequest("payload", List.of(step), Schedule.ONCE);
  }

  /** Keeps the fleet busy, and replaces the planner half-way if asked to. */
  private void run(
      int seconds, long estimateMillis, boolean changePlanner, Consumer<Integer> each) {
    for (int second = 0; second < seconds; second++) {
      cluster.submit(new JobId("%016x".formatted(++jobCount)), job(estimateMillis), 2);
      if (changePlanner && second == seconds / 2) {
        cluster.planner().ifPresent(vm -> cluster.kill(vm, 1_000));
      }
      each.accept(second);
      cluster.time().pass(1_000);
    }
  }

  private void finish() {
    cluster.time().pass(120_000);
    assertThat(cluster.oracle().violations()).isEmpty();
    assertThat(cluster.unfinished()).isEmpty();
    assertThat(mostQuarantined).isAtMost(QUARTER);
    assertThat(starts).isAtLeast(30);
  }

  // A tenth of the workers fail half of what they start.
  @ParameterizedTest
  @CsvSource({"1,false", "2,false", "3,true", "4,true"})
  void quarantinesATenthThatFails(long seed, boolean changePlanner) {
    start(seed);
    TENTH.forEach(i -> cluster.setFault(worker(i), WorkerFault.failing(0.5)));
    run(40, 3_000, changePlanner, second -> {});
    assertThat(quarantined).isEqualTo(names(TENTH));
    finish();
  }

  // A tenth of the workers are out of reach every 1.5 s.
  @ParameterizedTest
  @CsvSource({"1,false", "2,true"})
  void quarantinesATenthThatFlaps(long seed, boolean changePlanner) {
    start(seed);
    for (int i = 0; i < 26; i++) {
      boolean cut = i % 2 == 0;
      TENTH.forEach(number -> cluster.cut(worker(number), cut));
      run(1, 3_000, changePlanner && i == 14, second -> {});
      cluster.time().pass(500);
    }
    TENTH.forEach(number -> cluster.cut(worker(number), false));
    assertThat(quarantined).isEqualTo(names(TENTH));
    finish();
  }

  // A fifth of the workers are five times slower for 7 s.
  @ParameterizedTest
  @CsvSource({"1,false", "2,true"})
  void quarantinesOnlySlowWorkers(long seed, boolean changePlanner) {
    start(seed);
    List<Integer> fifth = List.of(1, 6, 11, 16, 21, 26, 31, 36);
    run(
        24,
        7_000,
        changePlanner,
        second -> {
          if (second == 9) {
            fifth.forEach(i -> cluster.setFault(worker(i), WorkerFault.slow(0.2)));
          } else if (second == 16) {
            fifth.forEach(i -> cluster.setFault(worker(i), WorkerFault.NONE));
          }
        });
    assertThat(names(fifth)).containsAtLeastElementsIn(quarantined);
    if (!changePlanner) {
      assertThat(quarantined).isNotEmpty();
    }
    finish();
  }

  // A worker reports that it is well and refuses all starts.
  @ParameterizedTest
  @CsvSource({"1,false", "2,true"})
  void quarantinesAWorkerThatRefusesStarts(long seed, boolean changePlanner) {
    start(seed);
    cluster.setFault(worker(7), WorkerFault.refusing());
    run(20, 3_000, changePlanner, second -> {});
    assertThat(quarantined).containsExactly("w-7");
    cluster.setFault(worker(7), WorkerFault.NONE);
    finish();
  }

  // A successor that forgets a quarantine sends work to the bad worker at once.
  @ParameterizedTest
  @CsvSource({"1", "2", "3"})
  void successorKeepsAQuarantine(long seed) {
    start(seed);
    cluster.setFault(worker(7), WorkerFault.refusing());
    while (quarantinedMillis < 8_000) {
      run(1, 3_000, false, second -> {});
    }
    long until = lastQuarantineMillis + quarantinedMillis;
    // The record of the quarantine is with the next append.
    cluster.time().pass(500);
    cluster.planner().ifPresent(vm -> cluster.kill(vm, 1_000));
    long killedAt = cluster.time().steadyMillis();
    run(6, 3_000, false, second -> {});
    List<Placement> after =
        placements.stream()
            .filter(placement -> placement.atMillis() > killedAt && placement.atMillis() < until)
            .toList();
    assertThat(after.size()).isAtLeast(100);
    assertThat(after.stream().filter(placement -> placement.worker().equals("w-7")).toList())
        .isEmpty();
    cluster.setFault(worker(7), WorkerFault.NONE);
    finish();
  }

  // A worker that is still bad after its quarantine must not get much work at once.
  @ParameterizedTest
  @CsvSource({"1", "2"})
  void trialBeginsWithLittleWork(long seed) {
    start(seed);
    cluster.setFault(worker(7), WorkerFault.refusing());
    while (!serving.contains("w-7")) {
      run(1, 3_000, false, second -> {});
    }
    String planner = cluster.planner().orElseThrow();
    assertThat(cluster.describe(planner)).contains("quarantined=w-7 ");
    cluster.setFault(worker(7), WorkerFault.NONE);
    placements.clear();
    while (serving.contains("w-7")) {
      run(1, 3_000, false, second -> {});
    }
    long trialMillis = lastTrialMillis;
    run(20, 3_000, false, second -> {});
    List<Long> times =
        placements.stream()
            .filter(placement -> placement.worker().equals("w-7"))
            .map(Placement::atMillis)
            .toList();
    assertThat(times).isNotEmpty();
    assertThat(times.get(0)).isAtLeast(trialMillis);
    // A quarter of its eight accelerators; the tasks take 3 s.
    assertThat(times.stream().filter(at -> at < times.get(0) + 2_500).count()).isAtMost(2);
    assertThat(sound).contains("w-7");
    finish();
  }

  // A job that fails wherever it runs is no evidence against the workers that it runs on.
  @ParameterizedTest
  @CsvSource({"1,false", "2,true"})
  void quarantinesNobodyForABadJob(long seed, boolean changePlanner) {
    start(seed);
    run(
        30,
        3_000,
        changePlanner,
        second -> {
          if (second % 6 == 2) {
            JobId bad = new JobId("%016x".formatted(900_000 + second));
            cluster.setFailing(bad);
            cluster.submit(bad, job(12_000), 2);
          }
        });
    assertThat(quarantined).isEmpty();
    finish();
  }

  // Racks of speeds 1.0, 1.0 and 1.3: a slow rack is no fault, but urgent work goes elsewhere.
  @ParameterizedTest
  @CsvSource({"1,false", "2,true"})
  void sendsUrgentWorkToFastRacksAndQuarantinesNobody(long seed, boolean changePlanner) {
    start(seed);
    Set<String> slow = new TreeSet<>();
    for (int i = 0; i < WORKERS; i++) {
      if (i / SimulatedCluster.WORKERS_PER_RACK % 3 == 2) {
        slow.add("w-" + i);
        cluster.setFault(worker(i), WorkerFault.slow(1 / 1.3));
      }
    }
    run(60, 5_000, changePlanner, second -> {});
    cluster.time().pass(20_000);
    placements.clear();
    for (int i = 0; i < 20; i++) {
      cluster.submit(new JobId("%016x".formatted(800_000 + i)), urgent(), 0);
      cluster.time().pass(1_000);
    }
    List<Placement> urgent =
        placements.stream().filter(placement -> placement.priority() == 0).toList();
    long onSlow = urgent.stream().filter(placement -> slow.contains(placement.worker())).count();
    assertThat(urgent.size()).isAtLeast(20);
    assertThat(onSlow).isEqualTo(0);
    assertThat(quarantined).isEmpty();
    finish();
  }

  private static JobRequest urgent() {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(2)
            .setNeed(new Capacity(2_000, 4_000, 1))
            .setEstimateMillis(2_000)
            .build();
    return new JobRequest("payload", List.of(step), Schedule.ONCE);
  }

  // Starts that are sent together are refused for one reason, such as a capacity that has shrunk.
  @ParameterizedTest
  @CsvSource({"1", "2"})
  void keepsAWorkerThatRefusesSeveralStartsAtOnce(long seed) {
    start(seed);
    cluster.setFault(worker(7), WorkerFault.refusing());
    run(1, 3_000, false, second -> {});
    while (refusals == 0) {
      cluster.submit(new JobId("%016x".formatted(++jobCount)), job(3_000), 2);
      for (int i = 0; i < 10 && refusals == 0; i++) {
        cluster.time().pass(100);
      }
    }
    cluster.setFault(worker(7), WorkerFault.NONE);
    run(20, 3_000, false, second -> {});
    assertThat(refusals).isAtLeast(2);
    assertThat(quarantined).isEmpty();
    finish();
  }

  // A whole rack fails half of what it starts: all its workers, or none.
  @ParameterizedTest
  @CsvSource({"1,false", "2,true"})
  void quarantinesNoWorkerOutsideABadRack(long seed, boolean changePlanner) {
    start(seed);
    List<Integer> rack = List.of(8, 9, 10, 11);
    rack.forEach(i -> cluster.setFault(worker(i), WorkerFault.failing(0.5)));
    run(40, 3_000, changePlanner, second -> {});
    assertThat(names(rack)).containsAtLeastElementsIn(quarantined);
    finish();
  }

  // All workers crash at random while jobs arrive, which accuses none of them alone.
  @ParameterizedTest
  @CsvSource({"1", "2"})
  void keepsMostWorkersWhenManyCrashTogether(long seed) {
    start(seed);
    cluster.setCrashedWorkersKeepId();
    run(
        15,
        3_000,
        false,
        second -> {
          if (second == 5) {
            for (int i = 0; i < WORKERS; i += 2) {
              cluster.crashWorker(worker(i));
            }
          }
        });
    assertThat(quarantined).isEmpty();
    finish();
  }
}
