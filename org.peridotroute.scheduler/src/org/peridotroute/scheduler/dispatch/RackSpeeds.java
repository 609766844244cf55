package org.peridotroute.scheduler.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much longer tasks take on each rack than expected. Racks differ because hardware of
 * the same age and type is usually installed together. One task says little, so a rack counts as
 * median until many tasks have run there.
 */
final class RackSpeeds {
  /** Number of observations without slowdown that every rack starts with. */
  private static final double PRIOR_COUNT = 16;

  /** Minimum weight of an observation, so that the mean covers the last few dozen tasks. */
  private static final double MIN_WEIGHT = 0.02;

  private static final class Mean {
    private double count = PRIOR_COUNT;
    private double logSlowdown;
  }

  private final Map<String, Mean> racks = new HashMap<>();

  /** Adds the expected and the actual duration of a task that ran on a rack. */
  void addObservation(String rack, long expectedMillis, long tookMillis) {
    Mean mean = racks.computeIfAbsent(rack, key -> new Mean());
    mean.count++;
    double logRatio = Math.log((double) Math.max(1, tookMillis) / Math.max(1, expectedMillis));
    mean.logSlowdown += Math.max(MIN_WEIGHT, 1 / mean.count) * (logRatio - mean.logSlowdown);
  }

  /**
   * Returns the factor by which tasks take longer on a rack than on the median rack; 1 for an
   * unknown rack.
   */
  double slowdown(String rack) {
    Mean mean = racks.get(rack);
    return mean == null ? 1 : Math.exp(mean.logSlowdown - medianLogSlowdown());
  }

  private double medianLogSlowdown() {
    double[] sorted =
        racks.values().stream().mapToDouble(mean -> mean.logSlowdown).sorted().toArray();
    return sorted[(sorted.length - 1) / 2];
  }
}
