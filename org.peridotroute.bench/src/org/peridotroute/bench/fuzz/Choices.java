package org.peridotroute.bench.fuzz;

/** Source of all choices of a fuzzer run. */
@FunctionalInterface
public interface Choices {
  /**
   * Chooses a number.
   *
   * @param bound exclusive upper bound, at least 1
   * @return a number from 0 to bound - 1
   */
  int next(int bound);
}
