package org.peridotroute.bench.fuzz;

/**
 * A violated invariant.
 *
 * @param invariant the invariant that does not hold
 * @param step number of the step at which the violation was found
 * @param detail evidence of the violation
 */
public record Violation(Invariant invariant, long step, String detail) {
  /** Returns the fields in the form in which the fuzzer prints violations. */
  @Override
  public String toString() {
    return "Violation[promise=%s, step=%d, detail=%s]".formatted(invariant, step, detail);
  }
}
