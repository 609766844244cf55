package org.peridotroute.lib;

import java.util.List;

/**
 * Placement of one member of a gang.
 *
 * @param worker the worker
 * @param accelerators indices of the accelerators on the worker, ascending and distinct
 */
public record Member(WorkerId worker, List<Integer> accelerators) {
  /** Sorts the indices and removes duplicates. */
  public Member {
    Checks.present("member.worker", worker);
    accelerators = accelerators.stream().sorted().distinct().toList();
  }

  /** Returns the ids of the member's accelerators. */
  public List<AcceleratorId> acceleratorIds() {
    return accelerators.stream().map(index -> new AcceleratorId(worker, index)).toList();
  }
}
