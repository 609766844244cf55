package org.peridotroute.lib;

import java.util.List;

/**
 * Where one member of a gang is placed.
 *
 * @param worker the worker
 * @param accelerators numbers of the accelerators there, ascending and distinct
 */
public record Member(WorkerId worker, List<Integer> accelerators) {
  /** Copies and sorts the numbers. */
  public Member {
    Checks.present("member.worker", worker);
    accelerators = accelerators.stream().sorted().distinct().toList();
  }

  /** Returns the accelerators by id. */
  public List<AcceleratorId> acceleratorIds() {
    return accelerators.stream().map(index -> new AcceleratorId(worker, index)).toList();
  }
}
