package lab;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment: a store, workers and processes of the system, which are started with the
 * command and the template of the deploy file.
 */
final class Deployment {
  static final String HOST = "queue.example";
  static final String KEY = "tenant-key-1";
  static final String OTHER_KEY = "tenant-key-2";
  static final long GUARANTEED_ACCELERATORS = 16;
  static final String SERVICE = "render";
  static final long START_TIMEOUT_MILLIS = 30_000;
  private static final long MAX_MILLIS = 112_000;

  final Record record;
  final Store store;
  final Runs runs;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path root = Path.of("").toAbsolutePath();
  private final Site site;
  private final Path temporary;
  private volatile boolean stopping;
  private final List<Node> nodes = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1_000))
          .build();

  /** One process of the system. */
  final class Node {
    final String name;
    final int front;
    final int ready;
    private final Path settings;
    private Process process;

    private Node(String name) throws IOException {
      this.name = name;
      front = Ports.choose();
      ready = Ports.choose();
      settings = temporary.resolve(name + ".json");
      Files.writeString(settings, renderSettings(this));
    }

    void start() throws IOException {
      if (stopping) {
        return;
      }
      ProcessBuilder builder = new ProcessBuilder(command());
      builder.directory(root.toFile());
      builder.environment().put("PERIDOTROUTE_CONFIG", settings.toString());
      File log = temporary.resolve(name + ".log").toFile();
      builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
      process = builder.start();
      record.line("process %s starts", name);
    }

    /** Sends a signal by its name. */
    void signal(String signal) throws IOException, InterruptedException {
      record.line("process %s gets SIG%s", name, signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /**
     * Starts the process again if it has ended, as the platform does after a short delay.
     *
     * @return whether it had ended
     */
    boolean restartIfEnded() throws IOException {
      if (process.isAlive()) {
        return false;
      }
      record.line("process %s has ended with status %d", name, process.exitValue());
      start();
      return true;
    }

    boolean isAlive() {
      return process != null && process.isAlive();
    }

    boolean waitForExit(long millis) throws InterruptedException {
      return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    boolean isReady() {
      try {
        return get("http://127.0.0.1:" + ready + "/api/ready").statusCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    String log() throws IOException {
      return Files.readString(temporary.resolve(name + ".log"));
    }
  }

  Deployment(Path folder, Site site) throws IOException {
    this.site = site;
    record = new Record(folder.resolve("record.txt"));
    temporary = Files.createTempDirectory("review");
    store = new Store(4);
    runs = new Runs(record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
    record.line("trouble %s", trouble ? "on" : "off");
    startWatchdog();
  }

  /** Ends the case if it takes too long, so that no process outlives the time of a script. */
  private void startWatchdog() {
    Thread watchdog =
        new Thread(
            () -> {
              try {
                Thread.sleep(MAX_MILLIS);
              } catch (InterruptedException e) {
                return;
              }
              record.line("the case took too long");
              System.out.println("the case took too long");
              System.exit(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
  }

  private List<String> command() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no run command in deploy/system.toml");
    }
    return List.of(run.group(1).split(" "));
  }

  private String renderSettings(Node node) throws IOException {
    Map<String, String> values = new LinkedHashMap<>();
    values.put("node", "\"" + node.name + "\"");
    values.put("zone", "\"zone-a\"");
    values.put("listen.front", "\"127.0.0.1:" + node.front + "\"");
    values.put("listen.ready", "\"127.0.0.1:" + node.ready + "\"");
    values.put("platform.address", "\"" + store.address() + "\"");
    values.putAll(site.settings());
    String text = Files.readString(root.resolve("deploy/edge.json.template"));
    text =
        Pattern.compile("\\{\\{#([a-z_.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL)
            .matcher(text)
            .replaceAll(
                m -> values.containsKey(m.group(1)) ? Matcher.quoteReplacement(m.group(2)) : "");
    return Pattern.compile("\\{\\{([a-z_.]+)(\\|json)?\\}\\}")
        .matcher(text)
        .replaceAll(m -> Matcher.quoteReplacement(values.getOrDefault(m.group(1), "null")));
  }

  /** Starts processes of the system and waits until they are ready. */
  List<Node> startNodes(int count) throws IOException, InterruptedException {
    for (int i = 0; i < count; i++) {
      Node node = new Node("edge-" + (nodes.size() + 1));
      nodes.add(node);
      node.start();
    }
    long deadline = record.millis() + START_TIMEOUT_MILLIS;
    for (Node node : nodes) {
      while (!node.isReady()) {
        if (record.millis() > deadline || !node.isAlive()) {
          throw new IOException("process " + node.name + " is not ready: " + node.log());
        }
        Thread.sleep(100);
      }
    }
    record.line("%d processes are ready", nodes.size());
    return nodes;
  }

  /**
   * A queue of the configuration, under its own path prefix.
   *
   * @param name its name, which is also its path prefix
   */
  record Queue(String name, int priority, int maxAttempts, double stretch, long sloMillis) {
    String path(String job) {
      return "/" + name + "/" + job;
    }
  }

  private static Map<String, Object> tenant(String name, String key, long accelerators) {
    Map<String, Object> tenant = new LinkedHashMap<>();
    tenant.put("name", name);
    tenant.put("api_keys", List.of(key));
    tenant.put("priority", 1L);
    tenant.put("guaranteed", Map.of("gpu", accelerators));
    return tenant;
  }

  /** Publishes the configuration: queues of one service, and two tenants. */
  void configure(Queue... queues) {
    List<Object> routes = new ArrayList<>();
    for (Queue queue : queues) {
      Map<String, Object> route = new LinkedHashMap<>();
      route.put("name", queue.name());
      route.put("host", HOST);
      route.put("path_prefix", queue.path(""));
      route.put("kind", "non_idempotent");
      route.put("timeout_ms", 3_000L);
      route.put("slo_ms", queue.sloMillis());
      route.put("priority", (long) queue.priority());
      route.put("service", SERVICE);
      route.put("max_attempts", (long) queue.maxAttempts());
      route.put("stretch", queue.stretch());
      route.put("public", false);
      routes.add(route);
    }
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", SERVICE);
    service.put("health_path", "/health");
    service.put("max_conns", 64L);
    service.put("protocol", "h1");
    service.put("tls", false);
    service.put("enforces_capacity", false);
    service.put("standby", false);
    Map<String, Object> limits = new LinkedHashMap<>();
    limits.put("max_header_bytes", 16_384L);
    limits.put("max_body_bytes", 262_144L);
    limits.put("header_timeout_ms", 3_000L);
    limits.put("idle_timeout_ms", 15_000L);
    Map<String, Object> configuration = new LinkedHashMap<>();
    configuration.put("version", 1L);
    configuration.put("routes", routes);
    configuration.put("services", List.of(service));
    configuration.put("limits", limits);
    configuration.put(
        "tenants",
        List.of(
            tenant("tenant-1", KEY, GUARANTEED_ACCELERATORS), tenant("tenant-2", OTHER_KEY, 0)));
    store.put("keyed.op", "config", Json.write(configuration));
    record.line("the configuration is stored");
  }

  private HttpResponse<String> get(String url) throws IOException {
    return send(HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofMillis(2_000)).build());
  }

  private HttpResponse<String> send(HttpRequest request) throws IOException {
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /**
   * Makes a call of a client, with its usual deadline.
   *
   * @param path path of a queue or a job
   * @param body JSON body, null for none
   * @return the status and the body; status 0 if there was no response
   */
  Reply call(Node node, String method, String path, String body) {
    return call(node, method, path, body, KEY);
  }

  private Reply call(Node node, String method, String path, String body, String key) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.front + path))
            .timeout(Duration.ofMillis(3_000))
            .header("Authorization", "Bearer " + key)
            .header("Content-Type", "application/json")
            .header("Peridotroute-Timeout-Ms", "3000")
            .header("Host", HOST)
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    Reply reply;
    try {
      HttpResponse<String> response = send(request.build());
      reply = new Reply(response.statusCode(), response.body());
    } catch (IOException e) {
      reply = new Reply(0, e.toString());
    }
    record.line(
        "client: %s %s at %s -> %d %s", method, path, node.name, reply.status(), reply.body());
    return reply;
  }

  /** A response to a client. */
  record Reply(int status, String body) {
    String state() {
      return status == 200 ? (String) Json.object(body).get("state") : "";
    }
  }

  /** Submits a job with up to five attempts at the processes in turn, as clients do. */
  void submit(String path, String body) throws InterruptedException, Case.NotRun {
    submit(path, body, KEY);
  }

  void submit(String path, String body, String key) throws InterruptedException, Case.NotRun {
    for (int attempt = 0; attempt < 5; attempt++) {
      if (call(nodes.get(attempt % nodes.size()), "POST", path, body, key).status() == 200) {
        return;
      }
      Thread.sleep(1_000);
    }
    throw new Case.NotRun("the job " + path + " was not accepted");
  }

  /** Returns the state of a job, from the first process that gives it; empty if none does. */
  String state(String path) {
    for (Node node : nodes) {
      String state = call(node, "GET", path, null).state();
      if (!state.isEmpty()) {
        return state;
      }
    }
    return "";
  }

  /** Starts workers of 64 cores, 128 GB and 8 accelerators, like those of the smaller sites. */
  List<Worker> startWorkers(
      int count, IntFunction<List<String>> labels, Function<Worker.Run, Worker.Outcome> outcomes) {
    List<Worker> workers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Worker worker =
          new Worker(
              "i-" + i, SERVICE, "zone-a", labels.apply(i), 64_000, 131_072, 8,
              site.maxHoldMillis(), store, record, runs, outcomes);
      worker.start();
      workers.add(worker);
    }
    return workers;
  }

  List<Node> nodes() {
    return nodes;
  }

  /** Ends all processes and deletes their files. */
  private void stopAll() {
    stopping = true;
    for (Node node : nodes) {
      if (node.isAlive()) {
        node.process.destroyForcibly();
        try {
          node.process.waitFor(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    String keep = System.getenv("KEEP_LOGS");
    try (var files = Files.list(temporary)) {
      for (Path file : files.toList()) {
        if (keep != null && file.toString().endsWith(".log")) {
          Files.copy(
              file,
              Path.of(keep).resolve(file.getFileName()),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
        Files.delete(file);
      }
      Files.delete(temporary);
    } catch (IOException e) {
      System.err.println("cannot delete the temporary folder: " + e);
    }
  }
}
