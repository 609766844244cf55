package org.peridotroute.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.peridotroute.bench.Arguments;
import org.peridotroute.bench.BenchCluster;
import org.peridotroute.bench.Figures;
import org.peridotroute.bench.ServeProcess;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.Json;

/**
 * Measures the control-plane load of each VM at several cluster sizes, and fits a line to each
 * figure: {@code capacity --vms N --seconds S --settle S --only WORKERS --jar FILE}.
 */
public final class CapacityMain {
  private static final int WORKERS_PER_RACK = 8;
  private static final int GANG_MEMBERS = 32;
  private static final int CONFIG_CHANGES = 40;
  private static final int URGENT_JOBS = 20;
  private static final long POLL_MILLIS = 5;
  private static final long GANGS_START_TIMEOUT_MILLIS = 120_000;
  private static final double TARGET_WORKERS = 1_100;
  private static final String GANG =
      "{\"shape\":{\"members\":32,\"acceleratorsPerMember\":1},"
          + "\"idempotent\":true,\"payload\":\"run=99999999\"}";
  private static final String URGENT =
      "{\"shape\":{\"members\":4,\"acceleratorsPerMember\":1},"
          + "\"class\":\"urgent\",\"payload\":\"run=50\"}";
  private static final List<Size> SIZES =
      List.of(
          new Size(32, 240, 4),
          new Size(104, 800, 12),
          new Size(304, 2_400, 36),
          new Size(1_104, 8_000, 130));

  private final Figures figures = new Figures(System.out);
  private final Map<String, List<Point>> points = new LinkedHashMap<>();
  private final Path jar;
  private final int vmCount;
  private final long seconds;
  private final long settleSeconds;
  private final long onlyWorkers;

  /** Size of a cluster, its number of running tasks and its number of organisations. */
  private record Size(int workers, int tasks, int organisations) {}

  /** Value of a figure at a number of workers. */
  private record Point(int workers, double value) {}

  /** Cumulative resource usage of a VM at one moment. */
  private record Sample(
      long cpuMillis, long sentBytes, long receivedBytes, long calls, long peerBytes) {}

  private CapacityMain(Arguments options) {
    jar = Path.of(options.text("--jar", "target/peridotroute.jar"));
    vmCount = (int) options.number("--vms", 8);
    seconds = options.number("--seconds", 20);
    settleSeconds = options.number("--settle", 70);
    onlyWorkers = options.number("--only", 0);
  }

  /**
   * Runs the bench.
   *
   * @param arguments the options listed at the class
   * @throws Exception if processes cannot be started or do not become ready
   */
  public static void main(String[] arguments) throws Exception {
    CapacityMain bench = new CapacityMain(new Arguments(List.of(arguments)));
    for (Size size : SIZES) {
      if (bench.onlyWorkers == 0 || bench.onlyWorkers == size.workers()) {
        bench.measure(size);
      }
    }
    bench.printFits();
    System.exit(0);
  }

  private void measure(Size size) throws Exception {
    BenchCluster cluster =
        new BenchCluster(jar, size.workers() / WORKERS_PER_RACK, WORKERS_PER_RACK);
    try {
      for (int i = 0; i < vmCount; i++) {
        cluster.addVm();
      }
      for (ServeProcess vm : cluster.vms()) {
        cluster.awaitReady(vm);
      }
      startGangs(cluster, size);
      measureSteadyState(cluster, size);
      measureConfig(cluster, size);
      measureUrgent(cluster, size);
      measureBoot(cluster, size);
    } finally {
      cluster.stop();
    }
  }

  private void startGangs(BenchCluster cluster, Size size) throws Exception {
    for (int i = 0; i < size.organisations(); i++) {
      put(
          cluster,
          "/v1/organisations/org-" + i,
          "{\"guarantees\":[{\"shape\":{\"members\":4,\"acceleratorsPerMember\":1},\"count\":1}]}");
    }
    int gangs = size.tasks() / GANG_MEMBERS;
    for (int i = 0; i < gangs; i++) {
      String job = "/v1/organisations/org-" + i % size.organisations() + "/jobs/gang-" + i;
      put(cluster, job, GANG);
    }
    ServeProcess first = cluster.vms().get(0);
    long deadlineNanos =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GANGS_START_TIMEOUT_MILLIS);
    while (metric(cluster, first, "jobs.running") < gangs && System.nanoTime() < deadlineNanos) {
      Thread.sleep(POLL_MILLIS);
    }
    addFigure("running_gangs", size, metric(cluster, first, "jobs.running"), "gangs", "");
    Thread.sleep(TimeUnit.SECONDS.toMillis(settleSeconds));
  }

  private static void put(BenchCluster cluster, String path, String body) throws Exception {
    HttpReply reply = cluster.call("PUT", cluster.vms().get(0), path, body);
    if (!reply.isOk()) {
      throw new IllegalStateException(path + " was rejected: " + reply.body());
    }
  }

  private void measureSteadyState(BenchCluster cluster, Size size) throws Exception {
    List<Sample> before = samples(cluster);
    long appendsBefore = cluster.platform().log().appends();
    long startNanos = System.nanoTime();
    Thread.sleep(TimeUnit.SECONDS.toMillis(seconds));
    double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
    List<Sample> after = samples(cluster);
    double appends = cluster.platform().log().appends() - appendsBefore;
    double cpu = 0;
    double bytes = 0;
    double calls = 0;
    double peerBytes = 0;
    for (int i = 0; i < before.size(); i++) {
      Sample from = before.get(i);
      Sample to = after.get(i);
      cpu = Math.max(cpu, (to.cpuMillis() - from.cpuMillis()) / elapsedSeconds / 10);
      long sent = to.sentBytes() - from.sentBytes();
      long received = to.receivedBytes() - from.receivedBytes();
      bytes = Math.max(bytes, (sent + received) / elapsedSeconds / 1_000);
      calls = Math.max(calls, (to.calls() - from.calls()) / elapsedSeconds);
      peerBytes = Math.max(peerBytes, (to.peerBytes() - from.peerBytes()) / elapsedSeconds / 1_000);
    }
    addFigure("rest.cpu_max", size, cpu, "% of a core", "4.6");
    addFigure("rest.http_max", size, bytes, "KB/s", "18");
    addFigure("rest.calls_max", size, calls, "1/s", "");
    addFigure("rest.peers_max", size, peerBytes, "KB/s", "18");
    addFigure("rest.log_appends", size, appends / elapsedSeconds, "1/s", "300");
    measureMemory(cluster, size);
  }

  private void measureMemory(BenchCluster cluster, Size size) throws Exception {
    double resident = 0;
    double heap = 0;
    for (ServeProcess vm : cluster.vms()) {
      resident = Math.max(resident, vm.residentBytes() / 1e6);
      heap = Math.max(heap, metric(cluster, vm, "heap.usedBytes") / 1e6);
    }
    addFigure("rest.resident_max", size, resident, "MB", "64");
    addFigure("rest.heap_max", size, heap, "MB", "");
  }

  private static List<Sample> samples(BenchCluster cluster) throws Exception {
    List<Sample> samples = new ArrayList<>();
    for (ServeProcess vm : cluster.vms()) {
      JsonNode metrics = metrics(cluster, vm);
      samples.add(
          new Sample(
              vm.cpuMillis(),
              metrics.path("http.sentBytes").asLong(),
              metrics.path("http.receivedBytes").asLong(),
              metrics.path("http.calls").asLong(),
              metrics.path("peer.bytes").asLong()));
    }
    return samples;
  }

  /** Measures the time from a configuration change until every VM has applied it. */
  private void measureConfig(BenchCluster cluster, Size size) throws Exception {
    Histogram millis = new Histogram(3);
    for (int i = 0; i < CONFIG_CHANGES; i++) {
      long startNanos = System.nanoTime();
      ServeProcess writer = cluster.vms().get(i % cluster.vms().size());
      HttpReply reply =
          cluster.call("PUT", writer, "/v1/organisations/late", "{\"description\":\"" + i + "\"}");
      long revision = Json.readTree(reply.body()).path("revision").asLong();
      for (ServeProcess vm : cluster.vms()) {
        while (metric(cluster, vm, "config.offset") < revision) {
          Thread.sleep(1);
        }
      }
      millis.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
    }
    addFigure("config_everywhere.p99", size, millis.getValueAtPercentile(99), "ms", "13000");
    addFigure("config_everywhere.max", size, millis.getMaxValue(), "ms", "13000");
  }

  /** Measures the time from the submission of an urgent job until it leaves queued and placed. */
  private void measureUrgent(BenchCluster cluster, Size size) throws Exception {
    Histogram millis = new Histogram(3);
    for (int i = 0; i < URGENT_JOBS; i++) {
      String job = "/v1/organisations/org-" + i % size.organisations() + "/jobs/urgent-" + i;
      long startNanos = System.nanoTime();
      put(cluster, job, URGENT);
      String phase = "queued";
      while (phase.equals("queued") || phase.equals("placed")) {
        Thread.sleep(POLL_MILLIS);
        HttpReply reply = cluster.call("GET", cluster.vms().get(0), job, null);
        phase = Json.readTree(reply.body()).path("phase").asText();
      }
      millis.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
    }
    addFigure("urgent_start.p99", size, millis.getValueAtPercentile(99), "ms", "6700");
  }

  private void measureBoot(BenchCluster cluster, Size size) throws Exception {
    long startNanos = System.nanoTime();
    ServeProcess vm = cluster.addVm();
    cluster.awaitReady(vm);
    addFigure("boot_from_log", size, (System.nanoTime() - startNanos) / 1e6, "ms", "");
  }

  private static double metric(BenchCluster cluster, ServeProcess vm, String name)
      throws Exception {
    return metrics(cluster, vm).path(name).asDouble();
  }

  private static JsonNode metrics(BenchCluster cluster, ServeProcess vm) throws Exception {
    return Json.readTree(cluster.call("GET", vm, "/v1/metrics", null).body());
  }

  private void addFigure(String name, Size size, Number value, String unit, String target) {
    points
        .computeIfAbsent(name, key -> new ArrayList<>())
        .add(new Point(size.workers(), value.doubleValue()));
    figures.print("capacity." + name + "@" + size.workers(), value, unit, target, "");
  }

  /** Fits value = base + slope * workers to each figure by least squares and prints the results. */
  private void printFits() {
    points.forEach(
        (name, measured) -> {
          double meanX = measured.stream().mapToDouble(Point::workers).average().orElse(0);
          double meanY = measured.stream().mapToDouble(Point::value).average().orElse(0);
          double covariance = 0;
          double variance = 0;
          for (Point point : measured) {
            covariance += (point.workers() - meanX) * (point.value() - meanY);
            variance += (point.workers() - meanX) * (point.workers() - meanX);
          }
          double slope = variance == 0 ? 0 : covariance / variance;
          double base = meanY - slope * meanX;
          double maxError =
              measured.stream()
                  .mapToDouble(point -> Math.abs(point.value() - base - slope * point.workers()))
                  .max()
                  .orElse(0);
          figures.print("capacity.fit." + name + ".base", base, "");
          figures.print("capacity.fit." + name + ".slope_per_worker", slope, "");
          figures.print("capacity.fit." + name + ".max_error", maxError, "");
          figures.print("capacity.fit." + name + "@1100", base + slope * TARGET_WORKERS, "");
        });
  }
}
