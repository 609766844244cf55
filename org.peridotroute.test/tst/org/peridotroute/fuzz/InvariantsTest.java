package org.peridotroute.fuzz;

import static com.google.common.truth.Truth.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.peridotroute.bench.fuzz.FaultKind;
import org.peridotroute.bench.fuzz.FuzzCluster;
import org.peridotroute.bench.fuzz.FuzzOptions;
import org.peridotroute.bench.fuzz.InjectedDefect;
import org.peridotroute.bench.fuzz.Invariant;
import org.peridotroute.bench.fuzz.Violation;

/** Checks each invariant as a property under random faults on virtual time. */
final class InvariantsTest {
  private static final int TRIES = 10;
  private static final long STEPS = 2_500;

  @Property(tries = TRIES, seed = "101", shrinking = ShrinkingMode.OFF)
  void guaranteedShapeCanAlwaysBeReclaimed(@ForAll long seed) {
    assertHolds(Invariant.GUARANTEE_RECLAIMABLE, seed);
  }

  @Property(tries = TRIES, seed = "102", shrinking = ShrinkingMode.OFF)
  void noGangRunsWithSomeOfItsMembers(@ForAll long seed) {
    assertHolds(Invariant.GANG_WHOLE, seed);
  }

  @Property(tries = TRIES, seed = "103", shrinking = ShrinkingMode.OFF)
  void callerGetsWholeAnswerToItsOwnRequest(@ForAll long seed) {
    assertHolds(Invariant.OWN_WHOLE_ANSWER, seed);
  }

  @Property(tries = TRIES, seed = "104", shrinking = ShrinkingMode.OFF)
  void notRunIsTrue(@ForAll long seed) {
    assertHolds(Invariant.NOT_RUN_IS_TRUE, seed);
  }

  @Property(tries = TRIES, seed = "105", shrinking = ShrinkingMode.OFF)
  void nonIdempotentRunsAtMostOnce(@ForAll long seed) {
    assertHolds(Invariant.AT_MOST_ONCE, seed);
  }

  @Property(tries = TRIES, seed = "106", shrinking = ShrinkingMode.OFF)
  void leavingWorkerGetsNothing(@ForAll long seed) {
    assertHolds(Invariant.LEAVING_GETS_NOTHING, seed);
  }

  @Property(tries = TRIES, seed = "107", shrinking = ShrinkingMode.OFF)
  void plannedStopCutsNothing(@ForAll long seed) {
    FuzzOptions options = new FuzzOptions(3, EnumSet.of(FaultKind.VM_STOPPED), InjectedDefect.NONE);
    assertHolds(Invariant.PLANNED_STOP_CUTS_NOTHING, options, seed);
  }

  @Property(tries = TRIES, seed = "108", shrinking = ShrinkingMode.OFF)
  void acceptedConfigurationNeverReverts(@ForAll long seed) {
    assertHolds(Invariant.CONFIG_NEVER_REVERTS, seed);
  }

  @Property(tries = TRIES, seed = "109", shrinking = ShrinkingMode.OFF)
  void noAcceptedJobIsLost(@ForAll long seed) {
    assertHolds(Invariant.NOTHING_LOST, seed);
  }

  private static void assertHolds(Invariant invariant, long seed) {
    assertHolds(invariant, FuzzOptions.ALL, seed);
  }

  private static void assertHolds(Invariant invariant, FuzzOptions options, long seed) {
    FuzzCluster cluster = new FuzzCluster(options, new SplittableRandom(seed)::nextInt);
    cluster.run(STEPS);
    cluster.settle();
    List<Violation> violations =
        cluster.violations().stream()
            .filter(violation -> violation.invariant() == invariant)
            .toList();
    assertThat(violations).isEmpty();
    assertThat(cluster.acceptedJobs()).isGreaterThan(0);
  }
}
