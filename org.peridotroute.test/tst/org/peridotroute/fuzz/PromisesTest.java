package org.peridotroute.fuzz;

import static com.google.common.truth.Truth.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.peridotroute.bench.fuzz.FaultKind;
import org.peridotroute.bench.fuzz.FuzzOptions;
import org.peridotroute.bench.fuzz.FuzzWorld;
import org.peridotroute.bench.fuzz.Promise;
import org.peridotroute.bench.fuzz.Sabotage;
import org.peridotroute.bench.fuzz.Violation;

/** What must always hold, one property each, under random faults on virtual time. */
final class PromisesTest {
  private static final int TRIES = 10;
  private static final long STEPS = 2_500;

  @Property(tries = TRIES, seed = "101", shrinking = ShrinkingMode.OFF)
  void guaranteedShapeCanAlwaysBeReclaimed(@ForAll long seed) {
    assertKept(Promise.GUARANTEE_RECLAIMABLE, seed);
  }

  @Property(tries = TRIES, seed = "102", shrinking = ShrinkingMode.OFF)
  void noGangRunsWithSomeOfItsMembers(@ForAll long seed) {
    assertKept(Promise.GANG_WHOLE, seed);
  }

  @Property(tries = TRIES, seed = "103", shrinking = ShrinkingMode.OFF)
  void callerGetsWholeAnswerToItsOwnRequest(@ForAll long seed) {
    assertKept(Promise.OWN_WHOLE_ANSWER, seed);
  }

  @Property(tries = TRIES, seed = "104", shrinking = ShrinkingMode.OFF)
  void notRunIsTrue(@ForAll long seed) {
    assertKept(Promise.NOT_RUN_IS_TRUE, seed);
  }

  @Property(tries = TRIES, seed = "105", shrinking = ShrinkingMode.OFF)
  void nonIdempotentRunsAtMostOnce(@ForAll long seed) {
    assertKept(Promise.AT_MOST_ONCE, seed);
  }

  @Property(tries = TRIES, seed = "106", shrinking = ShrinkingMode.OFF)
  void leavingWorkerGetsNothing(@ForAll long seed) {
    assertKept(Promise.LEAVING_GETS_NOTHING, seed);
  }

  @Property(tries = TRIES, seed = "107", shrinking = ShrinkingMode.OFF)
  void plannedStopCutsNothing(@ForAll long seed) {
    FuzzOptions options = new FuzzOptions(3, EnumSet.of(FaultKind.VM_STOPPED), Sabotage.NONE);
    assertKept(Promise.PLANNED_STOP_CUTS_NOTHING, options, seed);
  }

  @Property(tries = TRIES, seed = "108", shrinking = ShrinkingMode.OFF)
  void acceptedConfigurationNeverReverts(@ForAll long seed) {
    assertKept(Promise.CONFIG_NEVER_REVERTS, seed);
  }

  @Property(tries = TRIES, seed = "109", shrinking = ShrinkingMode.OFF)
  void noAcceptedJobIsLost(@ForAll long seed) {
    assertKept(Promise.NOTHING_LOST, seed);
  }

  private static void assertKept(Promise promise, long seed) {
    assertKept(promise, FuzzOptions.ALL, seed);
  }

  private static void assertKept(Promise promise, FuzzOptions options, long seed) {
    FuzzWorld world = new FuzzWorld(options, new SplittableRandom(seed)::nextInt);
    world.run(STEPS);
    world.settle();
    List<Violation> broken =
        world.violations().stream().filter(violation -> violation.promise() == promise).toList();
    assertThat(broken).isEmpty();
    assertThat(world.acceptedJobs()).isGreaterThan(0);
  }
}
