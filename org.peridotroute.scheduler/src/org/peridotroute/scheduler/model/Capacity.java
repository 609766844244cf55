package org.peridotroute.scheduler.model;

/**
 * Room on a worker, or what a task needs of it.
 *
 * @param milliCores thousandths of a core
 * @param memoryMb memory in MB
 * @param accelerators accelerators
 */
public record Capacity(long milliCores, long memoryMb, long accelerators) {
  /** No room. */
  public static final Capacity NONE = new Capacity(0, 0, 0);

  /** Cores that one accelerator counts as where work is priced; from the users' price list. */
  public static final int CORES_PER_ACCELERATOR = 8;

  private static final double MILLIS_PER_CORE = 1_000.0;

  /**
   * Adds room.
   *
   * @param other what to add
   * @return the sum
   */
  public Capacity plus(Capacity other) {
    return new Capacity(
        milliCores + other.milliCores,
        memoryMb + other.memoryMb,
        accelerators + other.accelerators);
  }

  /**
   * Takes room away. The result may be negative where a worker is over its room.
   *
   * @param other what to take
   * @return the difference
   */
  public Capacity minus(Capacity other) {
    return new Capacity(
        milliCores - other.milliCores,
        memoryMb - other.memoryMb,
        accelerators - other.accelerators);
  }

  /**
   * Returns whether a need fits into this room.
   *
   * @param need the need
   * @return whether it does, in every dimension
   */
  public boolean fits(Capacity need) {
    return need.milliCores <= milliCores
        && need.memoryMb <= memoryMb
        && need.accelerators <= accelerators;
  }

  /**
   * Returns how many of a need fit side by side.
   *
   * @param need the need
   * @return the number, 0 or more
   */
  public int maxCount(Capacity need) {
    long most = Integer.MAX_VALUE;
    most = need.milliCores > 0 ? Math.min(most, milliCores / need.milliCores) : most;
    most = need.memoryMb > 0 ? Math.min(most, memoryMb / need.memoryMb) : most;
    most = need.accelerators > 0 ? Math.min(most, accelerators / need.accelerators) : most;
    return (int) Math.max(0, most);
  }

  /** Returns the cores that this room is priced at, accelerators included. */
  public double pricedCores() {
    return milliCores / MILLIS_PER_CORE + (double) accelerators * CORES_PER_ACCELERATOR;
  }
}
