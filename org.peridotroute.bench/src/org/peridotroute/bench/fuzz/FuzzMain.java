package org.peridotroute.bench.fuzz;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.peridotroute.bench.Arguments;
import org.peridotroute.bench.Figures;

/** Runs the fuzzer for many steps: {@code fuzz --seed N --steps M}. */
public final class FuzzMain {
  private static final long STEPS_PER_WORLD = 4_000;

  private FuzzMain() {}

  /**
   * Runs worlds one after the other until so many steps are taken.
   *
   * @param arguments --seed N --steps M
   */
  public static void main(String[] arguments) {
    Arguments options = new Arguments(List.of(arguments));
    long seed = options.number("--seed", 1);
    long wanted = options.number("--steps", 100_000);
    Map<FaultKind, Long> faults = new EnumMap<>(FaultKind.class);
    long steps = 0;
    long violations = 0;
    long accepted = 0;
    for (long world = 0; steps < wanted; world++) {
      long worldSeed = seed * 1_000_003 + world;
      SplittableRandom random = new SplittableRandom(worldSeed);
      FuzzCluster run = new FuzzCluster(FuzzOptions.ALL, random::nextInt);
      run.run(STEPS_PER_WORLD);
      run.settle();
      steps += run.steps();
      accepted += run.acceptedJobs();
      run.faults().forEach((kind, count) -> faults.merge(kind, count, Long::sum));
      violations += run.violations().size();
      run.violations().stream()
          .limit(3)
          .forEach(violation -> System.err.println("world seed " + worldSeed + ": " + violation));
    }
    Figures figures = new Figures(System.out);
    figures.print("fuzz.seed", seed, "");
    figures.print("fuzz.steps", steps, "steps", "1000000", "");
    figures.print("fuzz.jobs", accepted, "jobs");
    faults.forEach((kind, count) -> figures.print("fuzz.faults." + kind, count, "faults"));
    figures.print("fuzz.violations", violations, "violations", "0", "");
    System.exit(violations == 0 ? 0 : 1);
  }
}
