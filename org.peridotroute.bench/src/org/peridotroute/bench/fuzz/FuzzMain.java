package org.peridotroute.bench.fuzz;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

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
    long seed = argument(arguments, "--seed", 1);
    long wanted = argument(arguments, "--steps", 100_000);
    Map<FaultKind, Long> faults = new EnumMap<>(FaultKind.class);
    long steps = 0;
    long violations = 0;
    long accepted = 0;
    for (long world = 0; steps < wanted; world++) {
      long worldSeed = seed * 1_000_003 + world;
      SplittableRandom random = new SplittableRandom(worldSeed);
      FuzzWorld run = new FuzzWorld(FuzzOptions.ALL, random::nextInt);
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
    figure("fuzz.seed", seed, "", "");
    figure("fuzz.steps", steps, "steps", "1000000");
    figure("fuzz.jobs", accepted, "jobs", "");
    faults.forEach((kind, count) -> figure("fuzz.faults." + kind, count, "faults", ""));
    figure("fuzz.violations", violations, "violations", "0");
    System.exit(violations == 0 ? 0 : 1);
  }

  private static long argument(String[] arguments, String name, long fallback) {
    for (int i = 0; i + 1 < arguments.length; i++) {
      if (arguments[i].equals(name)) {
        return Long.parseLong(arguments[i + 1]);
      }
    }
    return fallback;
  }

  private static void figure(String name, long value, String unit, String target) {
    System.out.printf(
        "{\"figure\":\"%s\",\"value\":%d,\"unit\":\"%s\",\"target\":\"%s\",\"baseline\":\"\"}%n",
        name, value, unit, target);
  }
}
