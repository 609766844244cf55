package org.peridotroute.bench.start;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.HdrHistogram.DoubleHistogram;
import org.peridotroute.adapter.standin.StoreStandIn;
import org.peridotroute.adapter.standin.WorkerCallsStandIn;
import org.peridotroute.bench.Arguments;
import org.peridotroute.bench.CallerClient;
import org.peridotroute.bench.EdgeProcess;
import org.peridotroute.bench.Figures;
import org.peridotroute.scheduler.port.Topic;

/**
 * Kills the process of an entry VM that plans and measures its restart: the time and the processor
 * time until its port is open, until the first answer to a caller, and until it has started a run.
 * Options: {@code start --runs N --jobs N --core N --jvm-options TEXT --home DIR}. With {@code
 * --core} the process runs on that core alone, as it does where a VM has one; {@code --jvm-options}
 * adds options of the JVM to those of the deploy file.
 */
public final class StartMain {
  private static final int WORKERS = 16;
  private static final int WORKERS_PER_RACK = 8;
  private static final long APPEND_MILLIS = 4;
  private static final long POLL_MILLIS = 2;
  private static final long RETRY_MILLIS = 20;
  private static final long TIMEOUT_MILLIS = 30_000;
  private static final int OK = 200;

  private static final String CONFIGURATION =
      "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/q/\","
          + "\"service\":\"s\",\"priority\":0,\"max_attempts\":3,\"stretch\":1.5,\"slo_ms\":400,"
          + "\"public\":true}],\"services\":[{\"name\":\"s\"}],\"tenants\":[]}";

  private static final String JOB =
      "{\"spec\":\"bench\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1,"
          + "\"estimate_ms\":2500,\"gang\":true}]}";

  private enum Milestone {
    PORT_OPEN,
    FIRST_ANSWER,
    RUN_STARTED
  }

  private final Figures figures = new Figures(System.out);
  private final StoreStandIn store = new StoreStandIn(APPEND_MILLIS);
  private final List<WorkerCallsStandIn> workers = new ArrayList<>();
  private final CallerClient caller = new CallerClient();
  private final Map<Milestone, DoubleHistogram> wallMillis = new EnumMap<>(Milestone.class);
  private final Map<Milestone, DoubleHistogram> cpuMillis = new EnumMap<>(Milestone.class);
  private final EdgeProcess process;
  private int jobCount;

  private StartMain(Path home, List<String> prefix, List<String> jvmOptions) throws IOException {
    Path folder = Files.createTempDirectory("peridotroute-start");
    store.start();
    store.put(Topic.CONFIGURATION, "config", CONFIGURATION);
    for (int i = 0; i < WORKERS; i++) {
      WorkerCallsStandIn worker = new WorkerCallsStandIn();
      worker.start();
      workers.add(worker);
      store.put(Topic.WORKERS, "w-" + i, worker.entry("s", "r-" + i / WORKERS_PER_RACK));
    }
    process = new EdgeProcess("vm-1", store.address(), home, folder, prefix, jvmOptions);
    for (Milestone milestone : Milestone.values()) {
      wallMillis.put(milestone, new DoubleHistogram(3));
      cpuMillis.put(milestone, new DoubleHistogram(3));
    }
  }

  /**
   * Runs the bench.
   *
   * @param arguments the options listed at the class
   * @throws Exception if the process cannot be started or does not start a run in time
   */
  public static void main(String[] arguments) throws Exception {
    Arguments options = new Arguments(List.of(arguments));
    String core = options.text("--core", "");
    List<String> prefix = core.isEmpty() ? List.of() : List.of("taskset", "-c", core);
    Path home = Path.of(options.text("--home", "")).toAbsolutePath();
    List<String> jvmOptions =
        Stream.of(options.text("--jvm-options", "").split(" "))
            .filter(word -> !word.isEmpty())
            .toList();
    StartMain bench = new StartMain(home, prefix, jvmOptions);
    try {
      bench.run((int) options.number("--runs", 10), (int) options.number("--jobs", 55));
    } finally {
      bench.process.stop();
    }
    System.exit(0);
  }

  private void run(int runs, int jobs) throws Exception {
    process.start();
    for (int i = 0; i < jobs; i++) {
      submitAndAwaitStart();
    }
    DoubleHistogram residentMb = new DoubleHistogram(3);
    for (int i = 0; i < runs; i++) {
      process.kill();
      process.start();
      awaitPort();
      record(Milestone.PORT_OPEN);
      awaitAnswer();
      record(Milestone.FIRST_ANSWER);
      submitAndAwaitStart();
      record(Milestone.RUN_STARTED);
      residentMb.recordValue(process.residentMb());
    }
    for (Milestone milestone : Milestone.values()) {
      report(milestone, "wall", wallMillis.get(milestone));
      report(milestone, "processor", cpuMillis.get(milestone));
    }
    figures.print("start.resident.p50", residentMb.getValueAtPercentile(50), "MB");
  }

  private void record(Milestone milestone) throws IOException {
    wallMillis.get(milestone).recordValue((double) process.ageMillis());
    cpuMillis.get(milestone).recordValue(process.cpuMillis());
  }

  private void report(Milestone milestone, String kind, DoubleHistogram millis) {
    String name = "start." + milestone.name().toLowerCase(Locale.ROOT) + "." + kind;
    figures.print(name + ".p50", millis.getValueAtPercentile(50), "ms");
    figures.print(name + ".max", millis.getMaxValue(), "ms");
  }

  private void awaitPort() throws InterruptedException {
    while (!isPortOpen()) {
      checkTime();
      Thread.sleep(POLL_MILLIS);
    }
  }

  private boolean isPortOpen() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), process.callerPort()));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Waits for any complete answer, a refusal included. */
  private void awaitAnswer() throws InterruptedException {
    while (call("GET", "") == 0) {
      checkTime();
      Thread.sleep(POLL_MILLIS);
    }
  }

  private void submitAndAwaitStart() throws InterruptedException {
    int before = startCount();
    String id = "%016x".formatted(++jobCount);
    while (call("POST", id) != OK) {
      checkTime();
      Thread.sleep(RETRY_MILLIS);
    }
    while (startCount() == before) {
      checkTime();
      Thread.sleep(POLL_MILLIS);
    }
  }

  private void checkTime() {
    if (process.ageMillis() > TIMEOUT_MILLIS) {
      throw new IllegalStateException("no progress within " + TIMEOUT_MILLIS + " ms");
    }
  }

  private int startCount() {
    return workers.stream().mapToInt(WorkerCallsStandIn::startCount).sum();
  }

  /** Returns the status of the answer, 0 if there was none. */
  private int call(String method, String id) throws InterruptedException {
    return caller.send(process, method, "/q/" + id, method.equals("POST") ? JOB : "").status();
  }
}
