package org.peridotroute.bench.fuzz;

import java.util.EnumSet;
import java.util.Set;

/**
 * What a run of the fuzzer does.
 *
 * @param vms how many VMs
 * @param faults kinds of fault that are put in
 * @param defect a defect put in on purpose
 */
public record FuzzOptions(int vms, Set<FaultKind> faults, InjectedDefect defect) {
  /** All faults, no defect. */
  public static final FuzzOptions ALL =
      new FuzzOptions(3, EnumSet.allOf(FaultKind.class), InjectedDefect.NONE);

  /** Copies the set. */
  public FuzzOptions {
    faults = Set.copyOf(faults);
  }

  /**
   * Returns the same with a defect.
   *
   * @param defect the defect
   * @return the options
   */
  public FuzzOptions with(InjectedDefect defect) {
    return new FuzzOptions(vms, faults, defect);
  }
}
