package org.peridotroute.bench.fuzz;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.peridotroute.bench.Arguments;
import org.peridotroute.bench.Figures;

/**
 * Runs the fuzzer on a sequence of clusters and prints the figures: {@code fuzz --seed N --steps
 * M}. Exits with status 1 if an invariant was violated.
 */
public final class FuzzMain {
  private static final long STEPS_PER_CLUSTER = 4_000;

  private FuzzMain() {}

  /**
   * Runs clusters one after the other until the number of steps is reached.
   *
   * @param arguments --seed N --steps M
   */
  public static void main(String[] arguments) {
    Arguments options = new Arguments(List.of(arguments));
    long seed = options.number("--seed", 1);
    long minSteps = options.number("--steps", 100_000);
    Map<FaultKind, Long> faults = new EnumMap<>(FaultKind.class);
    long steps = 0;
    long violations = 0;
    long accepted = 0;
    for (long clusterNumber = 0; steps < minSteps; clusterNumber++) {
      long clusterSeed = seed * 1_000_003 + clusterNumber;
      SplittableRandom random = new SplittableRandom(clusterSeed);
      FuzzCluster cluster = new FuzzCluster(FuzzOptions.ALL, random::nextInt);
      cluster.run(STEPS_PER_CLUSTER);
      cluster.settle();
      steps += cluster.steps();
      accepted += cluster.acceptedJobs();
      cluster.faults().forEach((kind, count) -> faults.merge(kind, count, Long::sum));
      violations += cluster.violations().size();
      cluster.violations().stream()
          .limit(3)
          .forEach(violation -> System.err.println("world seed " + clusterSeed + ": " + violation));
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
