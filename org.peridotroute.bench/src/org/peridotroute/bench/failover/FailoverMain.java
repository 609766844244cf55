package org.peridotroute.bench.failover;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.peridotroute.bench.Arguments;
import org.peridotroute.bench.BenchCluster;
import org.peridotroute.bench.Figures;
import org.peridotroute.bench.ServeProcess;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.Json;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.standin.TaskRun;

/**
 * Kills, pauses and replaces VM processes and measures the time until a job that is submitted right
 * afterwards is placed: {@code failover --kills N --seed S --jar FILE}.
 */
public final class FailoverMain {
  private static final int VMS = 4;
  private static final int RACKS = 2;
  private static final int WORKERS_PER_RACK = 4;
  private static final long PLACEMENT_TIMEOUT_MILLIS = 60_000;
  private static final long END_TIMEOUT_MILLIS = 120_000;
  private static final long POLL_MILLIS = 20;
  private static final int PAUSE_MILLIS = 6_000;
  private static final String SPEC =
      "{\"shape\":{\"members\":2,\"acceleratorsPerMember\":1},\"payload\":\"run=%d echo=%s\"}";
  private static final String ORGANISATION =
      "{\"guarantees\":[{\"shape\":{\"members\":2,\"acceleratorsPerMember\":1},\"count\":32}]}";

  private final Figures figures = new Figures(System.out);
  private final SplittableRandom random;
  private final BenchCluster cluster;
  private final List<String> accepted = new ArrayList<>();
  private int jobs;

  private FailoverMain(long seed, Path jar) throws IOException {
    random = new SplittableRandom(seed);
    cluster = new BenchCluster(jar, RACKS, WORKERS_PER_RACK);
  }

  /**
   * Runs the bench.
   *
   * @param arguments --kills N --seed S --jar FILE
   * @throws Exception if the processes cannot be started or do not become ready
   */
  public static void main(String[] arguments) throws Exception {
    Arguments options = new Arguments(List.of(arguments));
    Path jar = Path.of(options.text("--jar", "target/peridotroute.jar"));
    FailoverMain bench = new FailoverMain(options.number("--seed", 1), jar);
    try {
      bench.run((int) options.number("--kills", 5));
    } finally {
      bench.cluster.stop();
    }
    System.exit(0);
  }

  private void run(int kills) throws Exception {
    for (int i = 0; i < VMS; i++) {
      cluster.addVm();
    }
    for (ServeProcess vm : vms()) {
      cluster.awaitReady(vm);
    }
    cluster.call("PUT", vms().get(0), "/v1/organisations/le-goff", ORGANISATION);
    report("calm", measure(kills, vm -> {}, vm -> {}));
    report("planner_killed", measure(kills, ServeProcess::kill, this::restart));
    report(
        "planner_paused",
        measure(
            kills,
            ServeProcess::pause,
            vm -> {
              Thread.sleep(PAUSE_MILLIS);
              vm.resume();
              cluster.awaitReady(vm);
            }));
    report("all_replaced", replaceAll());
    reportJobs();
  }

  /** An action on a VM process, such as a fault or the recovery from it. */
  private interface ProcessAction {
    void run(ServeProcess vm) throws Exception;
  }

  private Histogram measure(int times, ProcessAction fault, ProcessAction recovery)
      throws Exception {
    Histogram histogram = new Histogram(3);
    for (int i = 0; i < times; i++) {
      submit(500 + random.nextInt(4_000), vms().get(random.nextInt(VMS)));
      ServeProcess planner = planner();
      fault.run(planner);
      histogram.recordValue(measurePlacementMillis(planner));
      recovery.run(planner);
    }
    return histogram;
  }

  /** Stops and restarts all VMs one after the other, as a rolling update does. */
  private Histogram replaceAll() throws Exception {
    Histogram histogram = new Histogram(3);
    for (ServeProcess vm : vms()) {
      submit(500 + random.nextInt(4_000), vm);
      vm.stop();
      histogram.recordValue(measurePlacementMillis(vm));
      restart(vm);
    }
    return histogram;
  }

  private void restart(ServeProcess vm) throws Exception {
    vm.start();
    cluster.awaitReady(vm);
  }

  private long measurePlacementMillis(ServeProcess affected) throws Exception {
    ServeProcess other = vms().stream().filter(vm -> vm != affected).findFirst().orElseThrow();
    long startNanos = System.nanoTime();
    String job = submit(200, other);
    long deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(PLACEMENT_TIMEOUT_MILLIS);
    while (phase(other, job).equals("queued") && System.nanoTime() < deadlineNanos) {
      Thread.sleep(POLL_MILLIS);
    }
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private String submit(int runMillis, ServeProcess vm) throws Exception {
    jobs++;
    String name = "job-" + jobs;
    HttpReply reply =
        cluster.call(
            "PUT", vm, "/v1/organisations/le-goff/jobs/" + name, SPEC.formatted(runMillis, name));
    if (reply.isOk()) {
      accepted.add(name);
    }
    return name;
  }

  private ServeProcess planner() throws Exception {
    while (true) {
      for (ServeProcess vm : vms()) {
        JsonNode dump = Json.readTree(cluster.call("GET", vm, "/v1/dump", null).body());
        if (dump.path("isPlanner").asBoolean()) {
          return vm;
        }
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  private String phase(ServeProcess vm, String job) throws Exception {
    HttpReply reply = cluster.call("GET", vm, "/v1/organisations/le-goff/jobs/" + job, null);
    return reply.isOk() ? Json.readTree(reply.body()).path("phase").asText() : "queued";
  }

  private List<ServeProcess> vms() {
    return cluster.vms();
  }

  private void report(String name, Histogram millis) {
    String target = name.equals("calm") ? "" : "6700";
    figures.print(
        "failover." + name + ".next_placement.p50", millis.getValueAtPercentile(50), "ms");
    figures.print(
        "failover." + name + ".next_placement.p99",
        millis.getValueAtPercentile(99),
        "ms",
        target,
        "");
    figures.print("failover." + name + ".next_placement.max", millis.getMaxValue(), "ms");
    figures.print("failover." + name + ".count", millis.getTotalCount(), "times");
  }

  private void reportJobs() throws Exception {
    int lost = 0;
    int unknown = 0;
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(END_TIMEOUT_MILLIS);
    for (String job : accepted) {
      while (!phase(vms().get(0), job).equals("ended") && System.nanoTime() < deadlineNanos) {
        Thread.sleep(POLL_MILLIS);
      }
      String path = "/v1/organisations/le-goff/jobs/" + job;
      JsonNode view = Json.readTree(cluster.call("GET", vms().get(0), path, null).body());
      lost += view.path("phase").asText().equals("ended") ? 0 : 1;
      unknown += view.path("outcome").asText().equals("unknown") ? 1 : 0;
    }
    figures.print("failover.jobs.accepted", accepted.size(), "jobs");
    figures.print("failover.jobs.lost", lost, "jobs", "0", "");
    figures.print("failover.jobs.unknown", unknown, "jobs");
    figures.print("failover.jobs.run_twice", countJobsRunTwice(), "jobs", "0", "");
  }

  private int countJobsRunTwice() {
    Set<String> seen = new HashSet<>();
    Set<String> twice = new HashSet<>();
    for (int rack = 1; rack <= RACKS; rack++) {
      for (int i = 1; i <= WORKERS_PER_RACK; i++) {
        for (TaskRun run : cluster.platform().worker(new WorkerId("w-" + rack + "-" + i)).runs()) {
          if (!seen.add(run.job() + "#" + run.member())) {
            twice.add(run.job().toString());
          }
        }
      }
    }
    return twice.size();
  }
}
