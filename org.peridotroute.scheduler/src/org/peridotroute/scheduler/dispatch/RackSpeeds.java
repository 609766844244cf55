package org.peridotroute.scheduler.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * How long tasks take on each rack against what was expected of them. Racks differ since machines
 * of one age and kind stand together; a single task tells little, so a rack counts as usual until
 * many have run there.
 */
final class RackSpeeds {
  /** Observations of the usual speed that every rack begins with. */
  private static final double PRIOR_COUNT = 16;

  /** Weight of one observation once there are many; a few dozen tasks count. */
  private static final double LEAST_WEIGHT = 0.02;

  private static final class Mean {
    private double weight = PRIOR_COUNT;
    private double logarithm;
  }

  private final Map<String, Mean> racks = new HashMap<>();

  /** Takes in what a task took. */
  void observed(String rack, long expectedMillis, long tookMillis) {
    Mean mean = racks.computeIfAbsent(rack, key -> new Mean());
    mean.weight++;
    double ratio = Math.log((double) Math.max(1, tookMillis) / Math.max(1, expectedMillis));
    mean.logarithm += Math.max(LEAST_WEIGHT, 1 / mean.weight) * (ratio - mean.logarithm);
  }

  /** Returns how much longer than on the usual rack tasks take on a rack. */
  double slowness(String rack) {
    Mean mean = racks.get(rack);
    return mean == null ? 1 : Math.exp(mean.logarithm - usual());
  }

  private double usual() {
    double[] sorted =
        racks.values().stream().mapToDouble(mean -> mean.logarithm).sorted().toArray();
    return sorted[(sorted.length - 1) / 2];
  }
}
