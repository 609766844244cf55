package lab3;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker of the users' platform. It keeps fences, leases, stopped and ended runs and numbered
 * ends as the protocol says, and guards no capacity. It can crash and start again under a new id at
 * the same address.
 */
final class Worker {
  private static final long MAX_HOLD_MILLIS = 10_000;
  private static final int CPU = 128_000;
  private static final int MEMORY_MB = 524_288;
  private static final int ACCELERATORS = 8;
  private static final AtomicInteger LIVES = new AtomicInteger();

  /** How a run goes: its length in milliseconds (none for one that lasts) and its end. */
  record Course(long millis, String how, String checkpoint) {
    Course(long millis, String how) {
      this(millis, how, "");
    }

    static final long LASTING = Long.MAX_VALUE / 4;
  }

  /** Decides on the course of a run that starts; null if the worker refuses it with 503. */
  interface Script {
    Course start(Worker worker, String task, int run, String spec);
  }

  private static final class Run {
    final String task;
    final int number;
    final long startMillis;
    final Course course;

    Run(String task, int number, long startMillis, Course course) {
      this.task = task;
      this.number = number;
      this.startMillis = startMillis;
      this.course = course;
    }
  }

  final String name;
  private final String service;
  private final String kind;
  private final String rack;
  private final String zone;
  private final Store store;
  private final Record record;
  private final Script script;
  private final int port;
  private volatile boolean quiet;
  private HttpServer server;
  private String id;
  private long bornMillis;
  private long startNanos;
  private long fence;
  private long deadlineMillis;
  private long lastEnd;
  private int beats;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> passed = new HashMap<>();
  private final List<List<Object>> ended = new ArrayList<>();

  Worker(
      String name,
      String service,
      String kind,
      String rack,
      String zone,
      Store store,
      Record record,
      Script script)
      throws IOException {
    this.name = name;
    this.service = service;
    this.kind = kind;
    this.rack = rack;
    this.zone = zone;
    this.store = store;
    this.record = record;
    this.script = script;
    port = Http.freePort();
  }

  /** Leaves its starts and ends out of the record. */
  void beQuiet() {
    quiet = true;
  }

  private void log(String format, Object... arguments) {
    if (!quiet) {
      record.add(format, arguments);
    }
  }

  synchronized boolean isUp() {
    return server != null;
  }

  synchronized String id() {
    return id;
  }

  synchronized boolean runs(String job) {
    return running.values().stream().anyMatch(run -> run.task.startsWith(job));
  }

  synchronized int runCount() {
    return running.size();
  }

  /** Starts a new life, with a new id. */
  synchronized void start() throws IOException {
    id = String.format("i-%s-%04x", name, 0x1000 + LIVES.incrementAndGet());
    bornMillis = System.currentTimeMillis();
    startNanos = System.nanoTime();
    fence = 0;
    deadlineMillis = 0;
    lastEnd = 0;
    beats = 0;
    running.clear();
    passed.clear();
    ended.clear();
    server = Http.serve(port, this::handle);
    String life = id;
    Http.THREADS.execute(() -> live(life));
  }

  /** Ends all that runs, without a word. The entry in the store is left to expire. */
  void crash() {
    HttpServer stopped;
    String life;
    synchronized (this) {
      stopped = server;
      life = id;
      record.add("worker %s (%s) crashes with %s", name, id, running.keySet());
      server = null;
      running.clear();
      notifyAll();
    }
    stopped.stop(0);
    Http.THREADS.execute(
        () -> {
          pause(4_500);
          store.put("keyed.servers", life, null);
        });
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void live(String life) {
    long nextBeat = 0;
    while (true) {
      synchronized (this) {
        if (server == null || !life.equals(id)) {
          return;
        }
        advance();
        if (System.nanoTime() >= nextBeat) {
          nextBeat = System.nanoTime() + 1_500_000_000L;
          store.put("keyed.servers", id, entry());
        }
      }
      pause(10);
    }
  }

  private String entry() {
    Map<String, Object> capacity = new LinkedHashMap<>();
    capacity.put("cpu", CPU);
    capacity.put("mem_mb", MEMORY_MB);
    capacity.put("gpu", ACCELERATORS);
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", service);
    entry.put("address", "127.0.0.1:" + port);
    entry.put("zone", zone);
    entry.put("version", "v1");
    entry.put("slots", 8);
    entry.put("state", "ready");
    entry.put("cold_left_ms", 0);
    entry.put("capacity", capacity);
    entry.put("labels", List.of(kind, rack));
    entry.put("clock_ms", clockMillis());
    entry.put("born", bornMillis);
    entry.put("seq", ++beats);
    return Json.write(entry);
  }

  private long clockMillis() {
    return 100_000 + (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void advance() {
    long now = clockMillis();
    for (Run run : List.copyOf(running.values())) {
      if (now - run.startMillis >= run.course.millis()) {
        end(run, run.course.how());
      } else if (now > deadlineMillis) {
        end(run, "lapsed");
      }
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    passed.merge(run.task, run.number, Math::max);
    ended.add(
        List.of(
            ++lastEnd,
            run.task,
            run.number,
            how,
            how.equals("done") ? "" : run.course.checkpoint()));
    log("worker %s: run %d of %s ends %s", name, run.number, run.task, how);
    notifyAll();
  }

  private synchronized Http.Answer handle(Http.Call call) throws InterruptedException {
    if (server == null) {
      return null;
    }
    if (call.path().equals("/health")) {
      return Http.Answer.of(200, "{}");
    }
    if (call.instance() != null && !call.instance().equals(id)) {
      return Http.Answer.of(421, "{\"clock_ms\":" + clockMillis() + "}");
    }
    Map<String, Object> body = Json.object(call.text());
    long token = (long) body.getOrDefault("fence", 0L);
    if (token < fence) {
      return refuse("fence");
    }
    fence = token;
    return switch (call.path()) {
      case "/api/run-start" -> startRun(body);
      case "/api/run-stop" -> stopRun(body);
      case "/api/hold" -> hold(body);
      default -> Http.Answer.of(404, "{}");
    };
  }

  private Http.Answer refuse(String reason) {
    return Http.Answer.of(
        409, "{\"clock_ms\":" + clockMillis() + ",\"reason\":\"" + reason + "\"}");
  }

  private Http.Answer done() {
    return Http.Answer.of(200, "{\"clock_ms\":" + clockMillis() + ",\"born\":" + bornMillis + "}");
  }

  private void extend(Object until) {
    if (until instanceof Long millis) {
      deadlineMillis =
          Math.max(deadlineMillis, Math.min(millis, clockMillis() + MAX_HOLD_MILLIS));
    }
  }

  private Http.Answer startRun(Map<String, Object> body) {
    String task = (String) body.get("task");
    int number = (int) (long) body.get("run");
    if ((long) body.get("deadline_ms") <= clockMillis()) {
      return refuse("late");
    }
    extend(body.get("deadline_ms"));
    Run current = running.get(task);
    if (current != null && current.number == number) {
      return done();
    }
    if (number <= passed.getOrDefault(task, 0) || current != null) {
      return refuse("old");
    }
    Course course = script.start(this, task, number, (String) body.get("spec"));
    if (course == null) {
      record.add("worker %s refuses run %d of %s with 503", name, number, task);
      return Http.Answer.of(503, "{}");
    }
    log("worker %s starts run %d of %s (fence %d)", name, number, task, fence);
    running.put(task, new Run(task, number, clockMillis(), course));
    return done();
  }

  private Http.Answer stopRun(Map<String, Object> body) {
    String task = (String) body.get("task");
    int number = (int) (long) body.get("run");
    passed.merge(task, number, Math::max);
    Run current = running.get(task);
    if (current != null && current.number <= number) {
      end(current, "stopped");
    }
    return done();
  }

  private Http.Answer hold(Map<String, Object> body) throws InterruptedException {
    extend(body.get("deadline_ms"));
    long seen = (long) body.getOrDefault("last_seen", 0L);
    ended.removeIf(row -> (long) row.get(0) <= seen);
    long until = System.nanoTime() + (long) body.getOrDefault("wait_ms", 0L) * 1_000_000;
    String life = id;
    while (ended.isEmpty() && server != null && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    if (server == null || !life.equals(id)) {
      return null;
    }
    advance();
    List<Object> rows = new ArrayList<>();
    for (Run run : running.values()) {
      long percent =
          run.course.millis() == Course.LASTING
              ? 100
              : Math.min(99, 100 * (clockMillis() - run.startMillis) / run.course.millis());
      rows.add(List.of(run.task, run.number, "", percent, 0));
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("clock_ms", clockMillis());
    answer.put("born", bornMillis);
    answer.put("running", rows);
    answer.put("ended", ended.subList(0, Math.min(500, ended.size())));
    return Http.Answer.of(200, Json.write(answer));
  }
}
