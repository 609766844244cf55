package lab;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * A worker of the platform. Tasks are timers; what becomes of a run is decided by a function of the
 * run. Leases are measured on the worker's own steady clock.
 */
final class Worker {
  /** What becomes of a run if nothing stops it. */
  record Outcome(long millis, String how) {}

  /** One run that the worker has begun. */
  static final class Run {
    final Worker worker;
    final String task;
    final long number;
    final String spec;
    final String checkpoint;
    final long startMillis;
    final Outcome outcome;
    long stopAtMillis = Long.MAX_VALUE;

    private Run(
        Worker worker, String task, long number, String spec, String checkpoint, long startMillis,
        Function<Run, Outcome> outcomes) {
      this.worker = worker;
      this.task = task;
      this.number = number;
      this.spec = spec;
      this.checkpoint = checkpoint;
      this.startMillis = startMillis;
      outcome = outcomes.apply(this);
    }
  }

  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long STOP_MILLIS = 100;

  final String id;
  private final long maxHoldMillis;
  private final Store store;
  private final Record record;
  private final Function<Run, Outcome> outcomes;
  private final Map<String, Object> description;
  private final Runs runs;
  private int port;

  private Http http;
  private boolean up;
  private volatile boolean unhealthy;
  private boolean called;
  private long firstAnswerMillis;
  private long publishDelayMillis;
  private long nextPublishMillis;
  private long bornMillis;
  private long bornNanos;
  private long fence;
  private long leaseEndMillis;
  private long lastEnd;
  private long sequence;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Long> highestEnded = new LinkedHashMap<>();
  private final List<Object[]> ended = new ArrayList<>();

  Worker(
      String id,
      String service,
      String zone,
      List<String> labels,
      long cpu,
      long memory,
      long gpu,
      long maxHoldMillis,
      Store store,
      Record record,
      Runs runs,
      Function<Run, Outcome> outcomes) {
    this.id = id;
    this.runs = runs;
    this.maxHoldMillis = maxHoldMillis;
    this.store = store;
    this.record = record;
    this.outcomes = outcomes;
    port = Ports.choose();
    description = new LinkedHashMap<>();
    description.put("service", service);
    description.put("address", "127.0.0.1:" + port);
    description.put("zone", zone);
    description.put("version", "v1");
    description.put("slots", 8L);
    description.put("state", "ready");
    description.put("cold_left_ms", 0L);
    description.put("capacity", capacity(cpu, memory, gpu));
    description.put("labels", List.copyOf(labels));
    Thread timer = new Thread(this::runTimer, "worker-" + id);
    timer.setDaemon(true);
    timer.start();
  }

  private static Map<String, Object> capacity(long cpu, long memory, long gpu) {
    Map<String, Object> capacity = new LinkedHashMap<>();
    capacity.put("cpu", cpu);
    capacity.put("mem_mb", memory);
    capacity.put("gpu", gpu);
    return capacity;
  }

  /** Returns the port that the worker listens on. */
  synchronized int port() {
    return port;
  }

  /** Gives the worker another address, from its next start on. */
  synchronized void moveTo(int otherPort) {
    port = otherPort;
    description.put("address", "127.0.0.1:" + otherPort);
  }

  /** Makes the worker one of another kind, from its next start on. */
  synchronized void become(List<String> labels, long cpu, long memory, long gpu) {
    description.put("labels", List.copyOf(labels));
    description.put("capacity", capacity(cpu, memory, gpu));
  }

  /**
   * Makes the next incarnations slow at their start.
   *
   * @param answerMillis time that the first call to an incarnation takes
   * @param publishMillis time from its start until it publishes itself
   */
  synchronized void setColdStart(long answerMillis, long publishMillis) {
    firstAnswerMillis = answerMillis;
    publishDelayMillis = publishMillis;
  }

  /** Starts a new incarnation under the same id, and publishes it. */
  synchronized void start() {
    bornMillis = System.currentTimeMillis();
    bornNanos = System.nanoTime();
    fence = 0;
    leaseEndMillis = 0;
    lastEnd = 0;
    running.clear();
    ended.clear();
    highestEnded.clear();
    http = new Http(port, this::handle);
    up = true;
    called = false;
    record.line("worker %s starts at port %d", id, port);
    nextPublishMillis = System.currentTimeMillis() + publishDelayMillis;
    if (publishDelayMillis == 0) {
      publish();
    }
  }

  /** Ends the incarnation like a crash: nothing is reported, connections are reset. */
  synchronized void crash() {
    up = false;
    record.line("worker %s crashes with %s", id, running.keySet());
    running.values().forEach(run -> runs.onEnd(run, "lost"));
    running.clear();
    http.close();
  }

  /** Makes the worker refuse all starts, as an unhealthy one does that still serves its health check. */
  void setUnhealthy(boolean value) {
    unhealthy = value;
  }

  synchronized boolean isUp() {
    return up;
  }

  synchronized List<String> runningTasks() {
    return List.copyOf(running.keySet());
  }

  private long clockMillis() {
    return 1_000 + (System.nanoTime() - bornNanos) / 1_000_000;
  }

  private synchronized void publish() {
    nextPublishMillis = System.currentTimeMillis() + HEARTBEAT_MILLIS;
    Map<String, Object> entry = new LinkedHashMap<>(description);
    entry.put("clock_ms", clockMillis());
    entry.put("born", bornMillis);
    entry.put("seq", ++sequence);
    store.put("keyed.servers", id, Json.write(entry));
  }

  private void runTimer() {
    try {
      while (true) {
        Thread.sleep(20);
        publishIfDue();
        advance();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void publishIfDue() {
    if (up && System.currentTimeMillis() >= nextPublishMillis) {
      publish();
    }
  }

  private synchronized void advance() {
    if (!up) {
      return;
    }
    long now = clockMillis();
    for (Run run : List.copyOf(running.values())) {
      if (now >= leaseEndMillis) {
        end(run, "lapsed");
      } else if (now >= run.stopAtMillis) {
        end(run, "stopped");
      } else if (now >= run.startMillis + run.outcome.millis()) {
        end(run, run.outcome.how());
      }
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    runs.onEnd(run, how);
    highestEnded.merge(run.task, run.number, Math::max);
    ended.add(new Object[] {++lastEnd, run.task, run.number, how, run.checkpoint});
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] bytes = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().getPath();
    waitOnFirstCall();
    if (path.equals("/health")) {
      Http.reply(exchange, 200, "{}");
      return;
    }
    String target = exchange.getRequestHeaders().getFirst("Peridotroute-Target-Instance");
    if (target != null && !target.equals(id)) {
      record.line("worker %s: answers 421 to a call that is meant for %s", id, target);
      Http.reply(exchange, 421, "{}");
      return;
    }
    if (bytes.length == 0) {
      // The caller has gone in the middle of its request.
      exchange.close();
      return;
    }
    Map<String, Object> body = Json.object(new String(bytes, StandardCharsets.UTF_8));
    switch (path) {
      case "/api/run-start" -> start(exchange, body);
      case "/api/run-stop" -> stop(exchange, body);
      case "/api/hold" -> hold(exchange, body);
      default -> Http.reply(exchange, 404, "{}");
    }
  }

  /** Takes its time for the first call to an incarnation, as a process does that has just begun. */
  private void waitOnFirstCall() {
    long millis;
    synchronized (this) {
      millis = called ? 0 : firstAnswerMillis;
      called = true;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static long number(Map<String, Object> body, String field) {
    return body.get(field) instanceof Long value ? value : 0;
  }

  private String clockBody(String reason) {
    return reason == null
        ? "{\"clock_ms\":" + clockMillis() + "}"
        : "{\"clock_ms\":" + clockMillis() + ",\"reason\":\"" + reason + "\"}";
  }

  private void extendLease(long deadlineMillis) {
    leaseEndMillis =
        Math.max(leaseEndMillis, Math.min(deadlineMillis, clockMillis() + maxHoldMillis));
  }

  private void start(HttpExchange exchange, Map<String, Object> body) throws IOException {
    String reason = null;
    String task = (String) body.get("task");
    long number = number(body, "run");
    if (unhealthy) {
      record.line("worker %s: %s run %d refused: 503", id, task, number);
      Http.reply(exchange, 503, clockBody(null));
      return;
    }
    synchronized (this) {
      long deadline = number(body, "deadline_ms");
      Run present = running.get(task);
      if (number(body, "fence") < fence) {
        reason = "fence";
      } else {
        fence = Math.max(fence, number(body, "fence"));
        if (deadline <= clockMillis()) {
          reason = "late";
        } else if (number <= highestEnded.getOrDefault(task, 0L)) {
          reason = "old";
          extendLease(deadline);
        } else if (present != null && present.number != number) {
          reason = "old";
          extendLease(deadline);
        } else {
          extendLease(deadline);
          if (present == null) {
            String checkpoint = (String) body.getOrDefault("last_checkpoint", "");
            Run run =
                new Run(
                    this, task, number, (String) body.get("spec"), checkpoint, clockMillis(),
                    outcomes);
            running.put(task, run);
            runs.onStart(run);
          }
        }
      }
    }
    if (reason != null) {
      record.line("worker %s: %s run %d rejected: %s", id, task, number, reason);
    }
    Http.reply(exchange, reason == null ? 200 : 409, clockBody(reason));
  }

  private void stop(HttpExchange exchange, Map<String, Object> body) throws IOException {
    String reason = null;
    synchronized (this) {
      String task = (String) body.get("task");
      long number = number(body, "run");
      if (number(body, "fence") < fence) {
        reason = "fence";
      } else {
        fence = Math.max(fence, number(body, "fence"));
        highestEnded.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= number) {
          run.stopAtMillis = Math.min(run.stopAtMillis, clockMillis() + STOP_MILLIS);
        }
      }
    }
    Http.reply(exchange, reason == null ? 200 : 409, clockBody(reason));
  }

  private void hold(HttpExchange exchange, Map<String, Object> body) throws IOException {
    String answer;
    synchronized (this) {
      if (number(body, "fence") < fence) {
        answer = null;
      } else {
        fence = Math.max(fence, number(body, "fence"));
        if (body.containsKey("deadline_ms")) {
          extendLease(number(body, "deadline_ms"));
        }
        long seen = number(body, "last_seen");
        ended.removeIf(row -> (long) row[0] <= seen);
        long until = System.currentTimeMillis() + Math.min(2_000, number(body, "wait_ms"));
        long before = lastEnd;
        try {
          for (long left = until - System.currentTimeMillis();
              left > 0 && up && before == lastEnd && ended.isEmpty();
              left = until - System.currentTimeMillis()) {
            wait(left);
          }
        } catch (InterruptedException e) {
          exchange.close();
          return;
        }
        answer = lists();
      }
    }
    if (answer == null) {
      Http.reply(exchange, 409, clockBody("fence"));
    } else {
      Http.reply(exchange, 200, answer);
    }
  }

  private String lists() {
    List<Object> runningRows = new ArrayList<>();
    for (Run run : running.values()) {
      long age = clockMillis() - run.startMillis;
      long percent =
          run.outcome.millis() > 1_000_000 ? 100 : Math.min(99, age * 100 / run.outcome.millis());
      runningRows.add(List.of(run.task, run.number, run.checkpoint, percent, 0L));
    }
    List<Object> endedRows = new ArrayList<>();
    for (Object[] row : ended.subList(0, Math.min(500, ended.size()))) {
      endedRows.add(List.of(row));
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("clock_ms", clockMillis());
    answer.put("born", bornMillis);
    answer.put("running", runningRows);
    answer.put("ended", endedRows);
    return Json.write(answer);
  }
}
