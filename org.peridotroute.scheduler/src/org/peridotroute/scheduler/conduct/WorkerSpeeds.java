package org.peridotroute.scheduler.conduct;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.peridotroute.lib.WorkerId;

/**
 * Learns how much longer tasks take on each worker than on its peers. A few tasks in a hundred take
 * several times as long on any worker, so the estimate is the median of logarithms over the last
 * observations. While little is known of a worker, its rack counts. Confined to one thread.
 */
public final class WorkerSpeeds {
  /** Observations of a worker that its median covers. */
  private static final int WORKER_WINDOW = 64;

  /** Observations of a rack that its median covers. */
  private static final int RACK_WINDOW = 256;

  /** Observations of the rack's slowdown that every worker starts with. */
  private static final double WORKER_PRIOR = 16;

  /** Observations without slowdown that every rack starts with. */
  private static final double RACK_PRIOR = 8;

  /** The last observations, as logarithms of the actual by the expected duration. */
  private static final class Window {
    private final double[] values;
    private int count;
    private double median;
    private boolean current = true;

    Window(int size) {
      values = new double[size];
    }

    void add(double value) {
      values[count % values.length] = value;
      count++;
      current = false;
    }

    int size() {
      return Math.min(count, values.length);
    }

    double median() {
      if (!current) {
        double[] sorted = Arrays.copyOf(values, size());
        Arrays.sort(sorted);
        median = (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
        current = true;
      }
      return median;
    }

    /** Returns the median, drawn towards a prior value while there are few observations. */
    double estimate(double prior, double priorCount) {
      return (size() * median() + priorCount * prior) / (size() + priorCount);
    }
  }

  private final Map<WorkerId, Window> workers = new HashMap<>();
  private final Map<String, Window> racks = new HashMap<>();

  /** Median over the racks; not a number if it must be determined anew. */
  private double usualRack = Double.NaN;

  /** Adds the expected and the actual duration of a task that ran alone on a worker. */
  public void addObservation(WorkerId worker, String rack, long expectedMillis, long tookMillis) {
    workers
        .computeIfAbsent(worker, key -> new Window(WORKER_WINDOW))
        .add(logRatio(expectedMillis, tookMillis));
    addGangObservation(rack, expectedMillis, tookMillis);
  }

  /**
   * Adds the expected and the actual duration of a member of a gang. A gang is as slow as its
   * slowest member, so this says something of the rack and nothing of the worker.
   */
  public void addGangObservation(String rack, long expectedMillis, long tookMillis) {
    racks
        .computeIfAbsent(rack, key -> new Window(RACK_WINDOW))
        .add(logRatio(expectedMillis, tookMillis));
    usualRack = Double.NaN;
  }

  private static double logRatio(long expectedMillis, long tookMillis) {
    return Math.log((double) Math.max(1, tookMillis) / Math.max(1, expectedMillis));
  }

  /** Returns the factor by which tasks take longer on a worker than on the usual rack. */
  public double slowdown(WorkerId worker, String rack) {
    double usual = usualRack();
    Window ofRack = racks.get(rack);
    double rackLog = ofRack == null ? usual : ofRack.estimate(usual, RACK_PRIOR);
    Window ofWorker = workers.get(worker);
    double log = ofWorker == null ? rackLog : ofWorker.estimate(rackLog, WORKER_PRIOR);
    return Math.exp(log - usual);
  }

  /** Returns the factor by which a gang takes longer that has members on these workers. */
  public double gangSlowdown(Map<WorkerId, String> racksByWorker) {
    double slowest = 0;
    for (Map.Entry<WorkerId, String> entry : racksByWorker.entrySet()) {
      slowest = Math.max(slowest, slowdown(entry.getKey(), entry.getValue()));
    }
    return racksByWorker.isEmpty() ? 1 : slowest;
  }

  /** Returns the expected duration of a task on a worker. */
  public long expectedMillis(long usualMillis, WorkerId worker, String rack) {
    return Math.max(1, Math.round((double) usualMillis * slowdown(worker, rack)));
  }

  private double usualRack() {
    if (Double.isNaN(usualRack)) {
      double[] sorted = racks.values().stream().mapToDouble(Window::median).sorted().toArray();
      usualRack = sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
    }
    return usualRack;
  }

  /** Forgets workers that no longer exist. */
  public void retain(Collection<WorkerId> existing) {
    workers.keySet().retainAll(existing);
  }
}
