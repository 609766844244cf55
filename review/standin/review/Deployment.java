package review;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: a store, workers, and machines of the system as processes that are
 * started with the command of the deploy file. The bounds are those of khet-till.
 */
final class Deployment {
  static final String SERVICE = "till-reconcile";
  static final String HOST = "tills.example";

  /** Keys of two tenants; the first is guaranteed {@link #GUARANTEED_GPU}, the second nothing. */
  static final String[] KEYS = {"key-of-tenant-one", "key-of-tenant-two"};

  static final int GUARANTEED_GPU = 8;
  static final String[] PREFIXES = {"/urgent/", "/audit/", "/read/"};

  /** The bounds of khet-till, in milliseconds. */
  static final long CONTACT_MILLIS = 4_000;

  static final long CANCEL_MILLIS = 3_000;
  static final long STOP_MILLIS = 400;
  static final long VISIBLE_MILLIS = 3_000;
  static final long FINISH_MILLIS = 14_000;

  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 30_000;

  private static final String[] ZONES = {"sahiwal-a", "hyderabad-a", "swat-a"};

  /** One machine of the system. */
  final class Vm {
    final String name;
    final String front;
    final String ready;
    private final Path settings;
    private final Path log;
    private Process process;

    Vm(int number) throws IOException {
      String zone = ZONES[number % ZONES.length];
      name = "edge-" + zone + "-" + (1 + number / ZONES.length);
      front = "127.0.0.1:" + freePort();
      ready = "127.0.0.1:" + freePort();
      settings = folder.resolve(name + ".json");
      log = folder.resolve(name + ".log");
      Files.writeString(settings, settings(this, zone));
    }

    void start() throws IOException {
      ProcessBuilder builder =
          new ProcessBuilder(command())
              .directory(new File("."))
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put("PERIDOTROUTE_CONFIG", settings.toString());
      process = builder.start();
      record.line(name + " is started");
    }

    void kill() {
      record.line(name + " gets SIGKILL");
      process.destroyForcibly();
      await(5_000);
    }

    /** Stops the process as the platform does: SIGTERM, and SIGKILL after the grace time. */
    void term(long graceMillis) {
      record.line(name + " gets SIGTERM");
      process.destroy();
      if (!await(graceMillis)) {
        process.destroyForcibly();
        await(5_000);
      }
      record.line(name + " has ended");
    }

    private boolean await(long millis) {
      try {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }

    boolean isAlive() {
      return process != null && process.isAlive();
    }

    boolean isReady() {
      return Http.call("GET", ready, "/api/ready", ready, null, null).status() == 200;
    }
  }

  final Record record;
  final Store store;
  final Path folder;
  final List<Vm> vms = new ArrayList<>();
  final List<Worker> workers = new ArrayList<>();
  final List<Worker.Run> runs = Collections.synchronizedList(new ArrayList<>());

  Deployment(Record record, int vmCount, int workerCount, int gpu, Worker.Script script)
      throws IOException {
    this.record = record;
    folder = Files.createTempDirectory("peridotroute-review");
    store = new Store();
    store.put("keyed.op", "config", configuration());
    for (int i = 0; i < vmCount; i++) {
      vms.add(new Vm(i));
    }
    for (int i = 0; i < workerCount; i++) {
      workers.add(
          new Worker(
              "worker" + (i + 1), store, record, script, runs, SERVICE, ZONES[i % ZONES.length],
              "r1-" + (1 + i / 8), gpu));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  private static String configuration() {
    StringBuilder routes = new StringBuilder();
    String[] stretch = {"1.5", "3.0", "3.0"};
    int[] slo = {400, 1200, 3000};
    int[] attempts = {3, 3, 2};
    for (int i = 0; i < PREFIXES.length; i++) {
      routes.append(i == 0 ? "" : ",")
          .append("{\"name\":\"r-%d\",\"host\":\"%s\",\"path_prefix\":\"%s\",".formatted(i, HOST, PREFIXES[i]))
          .append("\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"slo_ms\":%d,\"priority\":%d,".formatted(slo[i], i))
          .append("\"service\":\"%s\",\"max_attempts\":%d,\"stretch\":%s,\"public\":false}".formatted(SERVICE, attempts[i], stretch[i]));
    }
    return "{\"version\":7,\"routes\":[" + routes + "],\"services\":[{\"name\":\"" + SERVICE
        + "\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,"
        + "\"enforces_capacity\":false,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"tenant-one\",\"api_keys\":[\"" + KEYS[0]
        + "\"],\"priority\":1,\"guaranteed\":{\"gpu\":" + GUARANTEED_GPU
        + "}},{\"name\":\"tenant-two\",\"api_keys\":[\"" + KEYS[1]
        + "\"],\"priority\":1,\"guaranteed\":{}}]}";
  }

  /** Fills in the template of the deploy file with the values of this machine. */
  private String settings(Vm vm, String zone) throws IOException {
    Map<String, String> values = new LinkedHashMap<>();
    values.put("node", Json.quote(vm.name));
    values.put("zone", Json.quote(zone));
    values.put("listen.front", Json.quote(vm.front));
    values.put("listen.ready", Json.quote(vm.ready));
    values.put("platform.address", Json.quote(store.address()));
    values.put("bounds.max_hold_ms", Long.toString(Worker.MAX_HOLD_MILLIS));
    values.put("bounds.stop_ms", Long.toString(STOP_MILLIS));
    values.put("bounds.reclaim_ms", "2900");
    values.put("bounds.far_factor", "3");
    values.put("bounds.grace_s", "6");
    values.put("bounds.restore_ms", "600");
    values.put("heartbeat_ms", Long.toString(Worker.HEARTBEAT_MILLIS));
    values.put("limits.cpu_share", "0.75");
    values.put("limits.cores", "1");
    values.put("limits.link_mbps", "1000.0");
    values.put(
        "contracts",
        "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"platform\","
            + "\"advice\",\"upkeep\",\"sharing\"]");
    values.put(
        "zones",
        "{\"sahiwal-a\":\"punjab-central\",\"hyderabad-a\":\"sindh-lower\","
            + "\"swat-a\":\"kp-valleys\"}");
    String text =
        Files.readString(Path.of("deploy/edge.json.template"))
            .replaceAll("(?s)\\{\\{#([a-z_.]+)\\}\\}.*?\\{\\{/\\1\\}\\}", "");
    for (Map.Entry<String, String> value : values.entrySet()) {
      text = text.replace("{{" + value.getKey() + "|json}}", value.getValue());
    }
    if (text.contains("{{")) {
      throw new IOException("unknown placeholder in the template: " + text);
    }
    return text;
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("no run command in deploy/system.toml");
  }

  /** Returns a free port below those that the system gives to outgoing connections. */
  private static int freePort() throws IOException {
    for (int i = 0; i < 1_000; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket()) {
        socket.setReuseAddress(false);
        socket.bind(new InetSocketAddress("127.0.0.1", port));
        return port;
      } catch (BindException e) {
        continue;
      }
    }
    throw new IOException("no free port");
  }

  /** Starts all machines and waits until they are ready and one of them gives orders. */
  void start() throws Exception {
    for (Vm vm : vms) {
      vm.start();
    }
    long until = record.millis() + 30_000;
    while (!vms.stream().allMatch(Vm::isReady) || planner() == null) {
      if (record.millis() > until) {
        for (Vm vm : vms) {
          record.line(vm.name + " alive " + vm.isAlive() + ", ready " + vm.isReady());
          Files.readAllLines(vm.log).forEach(line -> record.line(vm.name + ": " + line));
        }
        throw new IllegalStateException("the machines are not ready");
      }
      Thread.sleep(100);
    }
    Thread.sleep(3_000);
    record.line("all machines are ready; " + planner().name + " gives the orders");
  }

  /** Returns the machine whose claim is the newest in the store, null if there is none. */
  Vm planner() {
    String claim = store.newest("keyed.progress", "!planner");
    if (claim == null) {
      return null;
    }
    String holder = claim.split(" ")[1];
    return vms.stream().filter(vm -> vm.name.equals(holder)).findFirst().orElse(null);
  }

  /** Returns a live machine other than the one that gives the orders. */
  Vm other() {
    Vm planner = planner();
    return vms.stream().filter(vm -> vm != planner && vm.isAlive()).findFirst().orElseThrow();
  }

  /** Submits a job of the first tenant. */
  void submit(Vm vm, String prefix, String id, String spec, String steps) throws Exception {
    submit(vm, KEYS[0], prefix, id, spec, steps);
  }

  /** Submits a job; the client sends it again, as clients do, until it is accepted. */
  void submit(Vm vm, String key, String prefix, String id, String spec, String steps)
      throws Exception {
    String body = "{\"spec\":" + Json.quote(spec) + ",\"steps\":[" + steps + "]}";
    for (int i = 0; i < 5; i++) {
      Http.Response answer = call("POST", vm, key, prefix + id, body);
      if (answer.status() / 100 == 2) {
        return;
      }
      Thread.sleep(300);
    }
    throw new IllegalStateException("job " + id + " was not accepted");
  }

  Http.Response call(String method, Vm vm, String path, String body) {
    return call(method, vm, KEYS[0], path, body);
  }

  private Http.Response call(String method, Vm vm, String key, String path, String body) {
    Http.Response answer = Http.call(method, vm.front, path, HOST, key, body);
    record.line(
        "%s %s at %s%s -> %d %s"
            .formatted(
                method, path, vm.name, body == null ? "" : " " + body, answer.status(),
                answer.text()));
    return answer;
  }

  /** Returns the state of a job as a machine tells it, empty if there is no answer. */
  String state(Vm vm, String path) {
    Http.Response answer = call("GET", vm, path, null);
    return answer.status() == 200 ? Json.text(Json.object(answer.text()), "state") : "";
  }

  List<Worker.Run> runsOf(String job) {
    synchronized (runs) {
      return runs.stream().filter(run -> run.task.startsWith(job)).toList();
    }
  }

  /** Waits until a condition holds; fails if it doesn't in time. */
  void await(String what, long millis, java.util.function.BooleanSupplier condition)
      throws InterruptedException {
    long until = record.millis() + millis;
    while (!condition.getAsBoolean()) {
      if (record.millis() > until) {
        throw new IllegalStateException("waited in vain: " + what);
      }
      Thread.sleep(20);
    }
  }

  /** Ends all processes and removes the temporary folder. */
  private void end() {
    for (Vm vm : vms) {
      if (vm.isAlive()) {
        vm.process.destroyForcibly();
      }
    }
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.await(5_000);
      }
    }
    File[] files = folder.toFile().listFiles();
    if (files != null && System.getenv("KEEP_LOGS") == null) {
      for (File file : files) {
        file.delete();
      }
      folder.toFile().delete();
    }
  }
}
