package org.peridotroute.lib;

import java.util.Comparator;

/**
 * Identifies one accelerator of a worker.
 *
 * @param worker the worker
 * @param index index of the accelerator on the worker, from 0
 */
public record AcceleratorId(WorkerId worker, int index) implements Comparable<AcceleratorId> {
  private static final Comparator<AcceleratorId> ORDER =
      Comparator.comparing(AcceleratorId::worker).thenComparingInt(AcceleratorId::index);

  @Override
  public int compareTo(AcceleratorId other) {
    return ORDER.compare(this, other);
  }
}
