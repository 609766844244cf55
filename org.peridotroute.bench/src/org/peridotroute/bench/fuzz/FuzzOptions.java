package org.peridotroute.bench.fuzz;

import java.util.EnumSet;
import java.util.Set;

/**
 * Options of a fuzzer run.
 *
 * @param vms number of VMs
 * @param faults kinds of fault to inject
 * @param defect defect to inject into the system under test
 */
public record FuzzOptions(int vms, Set<FaultKind> faults, InjectedDefect defect) {
  /** Three VMs, all kinds of fault and no defect. */
  public static final FuzzOptions ALL =
      new FuzzOptions(3, EnumSet.allOf(FaultKind.class), InjectedDefect.NONE);

  /** Makes a defensive copy of the set. */
  public FuzzOptions {
    faults = Set.copyOf(faults);
  }

  /**
   * Returns a copy of these options with another defect.
   *
   * @param defect the defect
   * @return the options
   */
  public FuzzOptions with(InjectedDefect defect) {
    return new FuzzOptions(vms, faults, defect);
  }
}
