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

/** What must always hold, one property each, under random faults on virtual time. */
final class InvariantsTest {
  private static final int TRIES = 10;
  private static final long STEPS = 2_500;

  @Property(tries = TRIES, seed = "101", shrinking = ShrinkingMode.OFF)
  void guaranteedShapeCanAlwaysBeReclaimed(@ForAll long seed) {
    assertKept(Invariant.GUARANTEE_RECLAIMABLE, seed);
  }

  @Property(tries = TRIES, seed = "102", shrinking = ShrinkingMode.OFF)
  void noGangRunsWithSomeOfItsMembers(@ForAll long seed) {
    assertKept(Invariant.GANG_WHOLE, seed);
  }

  @Property(tries = TRIES, seed = "103", shrinking = ShrinkingMode.OFF)
  void callerGetsWholeAnswerToItsOwnRequest(@ForAll long seed) {
    assertKept(Invariant.OWN_WHOLE_ANSWER, seed);
  }

  @Property(tries = TRIES, seed = "104", shrinking = ShrinkingMode.OFF)
  void notRunIsTrue(@ForAll long seed) {
    assertKept(Invariant.NOT_RUN_IS_TRUE, seed);
  }

  @Property(tries = TRIES, seed = "105", shrinking = ShrinkingMode.OFF)
  void nonIdempotentRunsAtMostOnce(@ForAll long seed) {
    assertKept(Invariant.AT_MOST_ONCE, seed);
  }

  @Property(tries = TRIES, seed = "106", shrinking = ShrinkingMode.OFF)
  void leavingWorkerGetsNothing(@ForAll long seed) {
    assertKept(Invariant.LEAVING_GETS_NOTHING, seed);
  }

  @Property(tries = TRIES, seed = "107", shrinking = ShrinkingMode.OFF)
  void plannedStopCutsNothing(@ForAll long seed) {
    FuzzOptions options = new FuzzOptions(3, EnumSet.of(FaultKind.VM_STOPPED), InjectedDefect.NONE);
    assertKept(Invariant.PLANNED_STOP_CUTS_NOTHING, options, seed);
  }

  @Property(tries = TRIES, seed = "108", shrinking = ShrinkingMode.OFF)
  void acceptedConfigurationNeverReverts(@ForAll long seed) {
    assertKept(Invariant.CONFIG_NEVER_REVERTS, seed);
  }

  @Property(tries = TRIES, seed = "109", shrinking = ShrinkingMode.OFF)
  void noAcceptedJobIsLost(@ForAll long seed) {
    assertKept(Invariant.NOTHING_LOST, seed);
  }

  private static void assertKept(Invariant invariant, long seed) {
    assertKept(invariant, FuzzOptions.ALL, seed);
  }

  private static void assertKept(Invariant invariant, FuzzOptions options, long seed) {
    FuzzCluster world = new FuzzCluster(options, new SplittableRandom(seed)::nextInt);
    world.run(STEPS);
    world.settle();
    List<Violation> broken =
        world.violations().stream()
            .filter(violation -> violation.invariant() == invariant)
            .toList();
    assertThat(broken).isEmpty();
    assertThat(world.acceptedJobs()).isGreaterThan(0);
  }
}
