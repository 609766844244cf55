package org.peridotroute.scheduler.model;

import org.peridotroute.lib.Checks;

/**
 * Resources of a worker, or the resources that a task needs.
 *
 * @param milliCores thousandths of a core
 * @param memoryMb memory in MB
 * @param accelerators number of accelerators
 */
public record Capacity(long milliCores, long memoryMb, long accelerators) {
  /** No resources. */
  public static final Capacity NONE = new Capacity(0, 0, 0);

  /** Greatest amount of a resource that a worker can have or a task can need. */
  public static final long MAX_AMOUNT = 1_000_000_000L;

  /** Price of one accelerator in cores, as in the users' price list. */
  public static final int CORES_PER_ACCELERATOR = 8;

  private static final double MILLIS_PER_CORE = 1_000.0;

  /**
   * Checks that no amount is negative or greater than {@link #MAX_AMOUNT}.
   *
   * @param field name of the field that holds the capacity
   * @throws org.peridotroute.errors.InvalidValueException if an amount is out of range
   */
  void checkRange(String field) {
    Checks.range(field + ".milliCores", milliCores, 0, MAX_AMOUNT);
    Checks.range(field + ".memoryMb", memoryMb, 0, MAX_AMOUNT);
    Checks.range(field + ".accelerators", accelerators, 0, MAX_AMOUNT);
  }

  /**
   * Adds a capacity.
   *
   * @param other the capacity to add
   * @return the sum
   */
  public Capacity plus(Capacity other) {
    return new Capacity(
        milliCores + other.milliCores,
        memoryMb + other.memoryMb,
        accelerators + other.accelerators);
  }

  /**
   * Subtracts a capacity. The result may be negative where a worker is overcommitted.
   *
   * @param other the capacity to subtract
   * @return the difference
   */
  public Capacity minus(Capacity other) {
    return new Capacity(
        milliCores - other.milliCores,
        memoryMb - other.memoryMb,
        accelerators - other.accelerators);
  }

  /**
   * Returns the greater amount of each resource.
   *
   * @param other the other capacity
   * @return the maximum in every dimension
   */
  public Capacity max(Capacity other) {
    return new Capacity(
        Math.max(milliCores, other.milliCores),
        Math.max(memoryMb, other.memoryMb),
        Math.max(accelerators, other.accelerators));
  }

  /** Returns whether any resource is negative, as on an overcommitted worker. */
  public boolean isNegative() {
    return milliCores < 0 || memoryMb < 0 || accelerators < 0;
  }

  /**
   * Returns whether a task's need fits into this capacity.
   *
   * @param need the need of the task
   * @return whether it fits in every dimension
   */
  public boolean fits(Capacity need) {
    return need.milliCores <= milliCores
        && need.memoryMb <= memoryMb
        && need.accelerators <= accelerators;
  }

  /**
   * Returns how many tasks with the same need fit into this capacity at once.
   *
   * @param need the need of each task
   * @return the number, 0 or more; {@link Integer#MAX_VALUE} if the need is empty
   */
  public int maxCount(Capacity need) {
    long max = Integer.MAX_VALUE;
    max = need.milliCores > 0 ? Math.min(max, milliCores / need.milliCores) : max;
    max = need.memoryMb > 0 ? Math.min(max, memoryMb / need.memoryMb) : max;
    max = need.accelerators > 0 ? Math.min(max, accelerators / need.accelerators) : max;
    return (int) Math.max(0, max);
  }

  /** Returns the price of this capacity in cores, accelerators included. */
  public double pricedCores() {
    return milliCores / MILLIS_PER_CORE + (double) accelerators * CORES_PER_ACCELERATOR;
  }
}
