package org.peridotroute.scheduler.conduct;

import static com.google.common.truth.Truth.assertThat;
import static org.peridotroute.scheduler.conduct.ConductFleet.RACK_SIZE;
import static org.peridotroute.scheduler.conduct.ConductFleet.SIZE;
import static org.peridotroute.scheduler.conduct.ConductFleet.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.peridotroute.lib.WorkerId;

/** Guards against work on bad workers, and against the quarantine of good ones. */
final class ConductBookTest {
  private static final int QUARTER = SIZE / 4;

  private final ConductFleet fleet = new ConductFleet();

  private static boolean isTenth(int number) {
    return number % 10 == 3;
  }

  private static List<Integer> tenth() {
    return IntStream.range(0, SIZE).filter(ConductBookTest::isTenth).boxed().toList();
  }

  /** Ends a run on each working worker every two seconds; those of the bad ones fail half. */
  private int runWork(long millis, IntPredicate bad, boolean changePlanner, Random random) {
    int failures = 0;
    for (int round = 0; round < millis / 2_000; round++) {
      if (changePlanner && round == millis / 4_000) {
        fleet.changePlanner();
      }
      for (int i = 0; i < SIZE; i++) {
        if (fleet.mayWork(i)) {
          boolean failed = bad.test(i) && random.nextBoolean();
          failures += failed ? 1 : 0;
          String job = "job-" + round + "-" + i / 6;
          fleet.book().onRunEnded(worker(i), "queue", job, job + "." + i, failed, fleet.now());
        }
      }
      fleet.pass(2_000);
    }
    return failures;
  }

  // A tenth of the workers fail half of what they start, without and with a change of planner.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void quarantinesATenthThatFailsHalfOfWhatItStarts(boolean changePlanner) {
    Random random = new Random(7);
    int failures = runWork(60_000, ConductBookTest::isTenth, changePlanner, random);
    assertThat(fleet.everQuarantined()).isEqualTo(tenth());
    // Without quarantine, 30 rounds of five bad workers would fail about 75 runs.
    assertThat(failures).isLessThan(45);
  }

  // A quarantine that is forgotten with the planner sends work back to a bad worker.
  @Test
  void keepsAQuarantineOverAChangeOfPlanner() {
    runWork(14_000, ConductBookTest::isTenth, false, new Random(7));
    List<Integer> quarantined =
        IntStream.range(0, SIZE).filter(i -> !fleet.mayWork(i)).boxed().toList();
    assertThat(quarantined).isNotEmpty();
    fleet.changePlanner();
    quarantined.forEach(i -> assertThat(fleet.mayWork(i)).isFalse());
    quarantined.forEach(i -> assertThat(fleet.book().conduct(worker(i)).level()).isAtLeast(1));
  }

  // A tenth of the workers flap with a period near the heartbeat, with and without restarts.
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void quarantinesATenthThatFlaps(int variant) {
    for (int round = 0; round < 20; round++) {
      if (variant == 2 && round == 8) {
        fleet.changePlanner();
      }
      tenth().forEach(i -> fleet.book().onSilence(worker(i), fleet.now()));
      fleet.pass(500);
      for (int i : tenth()) {
        if (variant == 1) {
          fleet.book().onReplaced(worker(i), worker(i), fleet.now());
        }
        fleet.book().onRegained(worker(i), fleet.now());
      }
      fleet.pass(1_000);
    }
    assertThat(fleet.everQuarantined()).isEqualTo(tenth());
  }

  // One short interruption of many workers, as of a switch, must not cost their capacity.
  @Test
  void quarantinesNobodyForOneSharedInterruption() {
    for (int i = 0; i < SIZE; i += 2) {
      fleet.book().onSilence(worker(i), fleet.now());
    }
    fleet.pass(1_000);
    for (int i = 0; i < SIZE; i += 2) {
      fleet.book().onRegained(worker(i), fleet.now());
    }
    fleet.pass(10_000);
    assertThat(fleet.everQuarantined()).isEmpty();
  }

  // A new planner reaches no worker at first; that is not the fault of the workers.
  @Test
  void ignoresSilencesAtAChangeOfPlanner() {
    fleet.changePlanner();
    for (int i = 0; i < 4; i++) {
      for (int times = 0; times < 4; times++) {
        fleet.book().onSilence(worker(i * RACK_SIZE), fleet.now());
        fleet.book().onRefusal(worker(i * RACK_SIZE), fleet.now());
      }
    }
    fleet.pass(10_000);
    assertThat(fleet.changes()).isEmpty();
  }

  private List<ProgressSample> progress(
      double[] done, IntPredicate slow, double stepMillis, boolean tails) {
    List<ProgressSample> samples = new ArrayList<>();
    for (int run = 0; run < done.length; run++) {
      int worker = run % SIZE;
      double speed = slow.test(worker) ? 0.2 : 1;
      speed /= tails && run % 33 == 5 ? 7 : 1;
      done[run] += speed * stepMillis / 70;
      int percent = (int) (done[run] % 100);
      Object key = run + "." + (int) (done[run] / 100);
      if (fleet.mayWork(worker)) {
        String job = "job-" + run / 30;
        samples.add(
            new ProgressSample(key, worker(worker), "queue", job, percent, fleet.now(), 7_000));
      }
    }
    return samples;
  }

  private static double[] startedRuns(int count) {
    return new Random(3).doubles(count, 0, 60).toArray();
  }

  // A fifth of the workers are five times slower for 7 s, without and with a change of planner.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void quarantinesAFifthThatIsFiveTimesSlower(boolean changePlanner) {
    double[] done = startedRuns(4 * SIZE);
    for (int step = 0; step < 30; step++) {
      boolean slowNow = step >= 6 && step < 20;
      if (changePlanner && step == 10) {
        fleet.changePlanner();
      }
      fleet.step(progress(done, i -> slowNow && i % 5 == 2, 500, false));
    }
    List<Integer> fifth = IntStream.range(0, SIZE).filter(i -> i % 5 == 2).boxed().toList();
    assertThat(fleet.everQuarantined()).isNotEmpty();
    assertThat(fifth).containsAtLeastElementsIn(fleet.everQuarantined());
    fleet.pass(40_000);
    assertThat(fleet.count(state -> state == ConductState.SOUND)).isEqualTo(SIZE);
  }

  // Three tasks in a hundred take seven times as long on sound workers.
  @Test
  void quarantinesNobodyForTailsOfTasks() {
    double[] done = startedRuns(6 * SIZE);
    for (int step = 0; step < 60; step++) {
      fleet.step(progress(done, i -> false, 500, true));
    }
    assertThat(fleet.everQuarantined()).isEmpty();
  }

  // The tasks of one job take four times as long as others of its queue, on all its workers.
  @Test
  void quarantinesNobodyForAJobWithLongTasks() {
    double[] done = startedRuns(4 * SIZE);
    for (int step = 0; step < 40; step++) {
      List<ProgressSample> samples = progress(done, i -> false, 500, false);
      for (int i = 0; i < 24; i++) {
        WorkerId worker = worker(i / 4);
        samples.add(
            new ProgressSample("long" + i, worker, "queue", "long", step, fleet.now(), 7_000));
      }
      for (int i = 0; i < 5; i++) {
        samples.add(
            new ProgressSample(
                "alone" + i, worker(20), "queue", "alone", step, fleet.now(), 7_000));
      }
      fleet.step(samples);
    }
    assertThat(fleet.everQuarantined()).isEmpty();
  }

  // All workers are slow at once, as when their storage is.
  @Test
  void quarantinesNobodyWhenAllAreSlow() {
    double[] done = startedRuns(4 * SIZE);
    for (int step = 0; step < 40; step++) {
      boolean slowNow = step >= 10;
      fleet.step(progress(done, i -> slowNow, 500, false));
    }
    assertThat(fleet.everQuarantined()).isEmpty();
  }

  // All workers of a rack fail, without and with a change of planner: others get work first.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void accusesNoSingleWorkerOfABadRack(boolean changePlanner) {
    runWork(30_000, i -> i / RACK_SIZE == 2, changePlanner, new Random(11));
    long quarantined = fleet.count(state -> state == ConductState.QUARANTINED);
    assertThat(quarantined).isEqualTo(0);
    long doubtful = fleet.count(state -> state == ConductState.DOUBTFUL);
    assertThat(doubtful).isAtLeast(RACK_SIZE / 2);
    for (int i = 0; i < SIZE; i++) {
      if (i / RACK_SIZE != 2) {
        assertThat(fleet.state(i)).isEqualTo(ConductState.SOUND);
      }
    }
  }

  // A bad job fails everywhere, and all its tasks may run on one worker at first.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void quarantinesNobodyForABadJob(boolean changePlanner) {
    for (int attempt = 0; attempt < 4; attempt++) {
      if (changePlanner && attempt == 2) {
        fleet.changePlanner();
      }
      for (int task = 0; task < 20; task++) {
        int number = attempt == 0 ? 5 : (attempt * 20 + task) % SIZE;
        fleet.book().onRunEnded(worker(number), "queue", "bad", "bad." + task, true, fleet.now());
      }
      runWork(4_000, i -> false, false, new Random(1));
    }
    assertThat(fleet.everQuarantined()).isEmpty();
  }

  // A worker that reports health but refuses starts attracts work, since it always has room.
  @Test
  void quarantinesAWorkerThatRefusesStartsButReportsHealth() {
    fleet.book().onRefusal(worker(4), fleet.now());
    fleet.pass(1_500);
    fleet.book().onRefusal(worker(4), fleet.now());
    fleet.pass(500);
    assertThat(fleet.everQuarantined()).containsExactly(4);
  }

  // A worker that reports bad health once and works well is not lost for the fleet.
  @Test
  void keepsAWorkerThatRefusesOnceAndCompletesItsRuns() {
    fleet.book().onRefusal(worker(4), fleet.now());
    runWork(30_000, i -> false, false, new Random(1));
    assertThat(fleet.everQuarantined()).isEmpty();
    assertThat(fleet.state(4)).isEqualTo(ConductState.SOUND);
  }

  // Evidence against most of a service would otherwise leave too few workers.
  @Test
  void quarantinesAtMostAQuarterOfAService() {
    for (int round = 0; round < 40; round++) {
      for (int i = 0; i < SIZE; i++) {
        if (i % 2 == 0 && i / 2 <= round) {
          fleet.book().onRefusal(worker(i), fleet.now());
          fleet.book().onRefusal(worker(i), fleet.now());
        }
      }
      fleet.pass(500);
    }
    assertThat(fleet.maxQuarantined()).isAtLeast(3);
    assertThat(fleet.maxQuarantined()).isAtMost(QUARTER);
  }

  // A worker that stays bad must not get a trial every few seconds, nor be lost for ever.
  @Test
  void quarantinesLongerEachTimeUpToABound() {
    List<Long> lengths = new ArrayList<>();
    for (int round = 0; round < 7; round++) {
      fleet.book().onRefusal(worker(4), fleet.now());
      fleet.book().onRefusal(worker(4), fleet.now());
      fleet.pass(500);
      WorkerConduct conduct = fleet.book().conduct(worker(4));
      assertThat(conduct.state()).isEqualTo(ConductState.QUARANTINED);
      lengths.add(conduct.untilMillis() - fleet.now());
      fleet.pass(conduct.untilMillis() - fleet.now());
      assertThat(fleet.state(4)).isEqualTo(ConductState.ON_TRIAL);
    }
    assertThat(lengths)
        .containsExactly(4_000L, 8_000L, 16_000L, 32_000L, 64_000L, 64_000L, 64_000L)
        .inOrder();
  }

  // A restart must not clear a bad worker at once, but evidence of another incarnation is void.
  @Test
  void nextIncarnationOfABadWorkerIsDoubtful() {
    fleet.book().onRefusal(worker(4), fleet.now());
    fleet.book().onRefusal(worker(4), fleet.now());
    fleet.pass(500);
    fleet.book().onReplaced(worker(4), worker(4), fleet.now());
    assertThat(fleet.state(4)).isEqualTo(ConductState.DOUBTFUL);
    fleet.book().onReplaced(worker(5), worker(5), fleet.now());
    assertThat(fleet.state(5)).isEqualTo(ConductState.SOUND);
    fleet.pass(60_000);
    assertThat(fleet.state(4)).isEqualTo(ConductState.SOUND);
  }
}
