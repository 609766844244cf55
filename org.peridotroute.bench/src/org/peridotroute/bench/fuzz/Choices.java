package org.peridotroute.bench.fuzz;

/** Where the fuzzer's choices come from. */
@FunctionalInterface
public interface Choices {
  /**
   * Chooses a number.
   *
   * @param bound one more than the greatest
   * @return 0 to bound - 1
   */
  int next(int bound);
}
