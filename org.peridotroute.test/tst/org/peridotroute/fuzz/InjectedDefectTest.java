package org.peridotroute.fuzz;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.peridotroute.bench.fuzz.FuzzCluster;
import org.peridotroute.bench.fuzz.FuzzOptions;
import org.peridotroute.bench.fuzz.InjectedDefect;
import org.peridotroute.bench.fuzz.Invariant;

/** Checks for each invariant that the oracle detects a defect that violates it. */
final class InjectedDefectTest {
  private static final int MAX_CLUSTERS = 40;
  private static final long STEPS = 3_000;

  @ParameterizedTest
  @CsvSource({
    "NO_RECLAIM, GUARANTEE_RECLAIMABLE",
    "IGNORE_LOST_MEMBERS, GANG_WHOLE",
    "UNLABELLED_ANSWERS, OWN_WHOLE_ANSWER",
    "START_BEFORE_LOG, NOT_RUN_IS_TRUE",
    "RESTART_LOST_TASKS, AT_MOST_ONCE",
    "IGNORE_LEAVING, LEAVING_GETS_NOTHING",
    "STOP_DROPS_RING, PLANNED_STOP_CUTS_NOTHING",
    "READY_TOO_EARLY, CONFIG_NEVER_REVERTS",
    "DROP_RELEASES, NOTHING_LOST",
  })
  void oracleDetectsDefect(InjectedDefect defect, Invariant invariant) {
    FuzzOptions options = FuzzOptions.ALL.with(defect);
    boolean detected = false;
    for (int seed = 0; seed < MAX_CLUSTERS && !detected; seed++) {
      FuzzCluster cluster = new FuzzCluster(options, new SplittableRandom(seed)::nextInt);
      cluster.run(STEPS);
      cluster.settle();
      detected =
          cluster.violations().stream().anyMatch(violation -> violation.invariant() == invariant);
    }
    assertWithMessage("%s is detected as a violation of %s", defect, invariant)
        .that(detected)
        .isTrue();
  }
}
