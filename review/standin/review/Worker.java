package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker as PROTOCOL.md describes it: fence, leases, runs, ends and stops. It enforces no
 * capacity. How long a run works and how it ends is decided by the case. It registers itself in the
 * store at each heartbeat.
 */
final class Worker {
  static final long HEARTBEAT_MILLIS = 1_500;
  static final long MAX_HOLD_MILLIS = 6_000;
  static final long STOP_MILLIS = 400;

  /** Says how a run goes: after how many milliseconds it ends, and how. */
  interface Script {
    Outcome of(Run run);
  }

  record Outcome(long afterMillis, String how) {
    static final Outcome LASTS = new Outcome(Long.MAX_VALUE / 4, "done");
  }

  /** One run, as the worker knows it. Times are those of the record. */
  static final class Run {
    final Worker worker;
    final String task;
    final int number;
    final String spec;
    final long fromMillis;
    volatile long toMillis = -1;
    volatile String how = "";

    /** Whether the end has been taken note of: `last_seen` has reached it. */
    volatile boolean noted;

    private long endsAtMillis;
    private String endsHow;
    private long stopAtMillis = Long.MAX_VALUE;

    Run(Worker worker, String task, int number, String spec, long fromMillis) {
      this.worker = worker;
      this.task = task;
      this.number = number;
      this.spec = spec;
      this.fromMillis = fromMillis;
    }

    boolean isRunning() {
      return toMillis < 0;
    }
  }

  private record End(long number, Run run) {}

  private final String name;
  private final Store store;
  private final Record record;
  private final Script script;
  private final List<Run> history;
  private final Http.Server server;
  private final String service;
  private final String zone;
  private final String rack;
  private final int gpu;

  private String id;
  private int lives;
  private long bornMillis;
  private long bornAtMillis;
  private long fence;
  private long leaseEndMillis;
  private long lastEnd;
  private long seq;
  private boolean draining;
  private long remainingAtMillis;
  private long leavesAtMillis;
  private boolean down;
  private boolean cut;
  private boolean refusesStarts;
  private long nextBeatMillis;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final List<End> ended = new ArrayList<>();
  private final Map<String, Integer> highest = new LinkedHashMap<>();

  Worker(
      String name, Store store, Record record, Script script, List<Run> history, String service,
      String zone, String rack, int gpu)
      throws IOException {
    this.name = name;
    this.store = store;
    this.record = record;
    this.script = script;
    this.history = history;
    this.service = service;
    this.zone = zone;
    this.rack = rack;
    this.gpu = gpu;
    server = new Http.Server(this::handle);
    begin();
    Thread thread = new Thread(this::live, name);
    thread.setDaemon(true);
    thread.start();
  }

  String id() {
    return id;
  }

  String name() {
    return name;
  }

  private synchronized void begin() {
    lives++;
    id = "i-" + name + "-" + lives;
    bornMillis = System.currentTimeMillis();
    bornAtMillis = record.millis();
    fence = 0;
    leaseEndMillis = 0;
    lastEnd = 0;
    seq = 0;
    running.clear();
    ended.clear();
    highest.clear();
    draining = false;
    nextBeatMillis = 0;
  }

  private long clock() {
    return record.millis() - bornAtMillis;
  }

  /** Cuts the path between the worker and the machines of the system, silently. */
  synchronized void cut(boolean value) {
    cut = value;
    record.line(name + (value ? " is cut off from all machines, silently" : " is reachable again"));
    notifyAll();
  }

  /** Cuts that path so that connections are refused; the worker works on. */
  void refuse(boolean value) throws IOException {
    record.line(
        name + (value ? " is cut off from all machines, which are refused" : " is reachable again"));
    if (value) {
      server.close();
    } else {
      server.open();
    }
  }

  /** Lets the worker refuse all starts with 503, as an unhealthy worker does. */
  synchronized void refuseStarts(boolean value) {
    refusesStarts = value;
    record.line(name + (value ? " is unhealthy and refuses starts" : " is healthy again"));
  }

  /** Begins a planned shutdown; the worker stays for longer than it has promised. */
  synchronized void drain(long remainingMillis, long stayMillis) {
    draining = true;
    leavesAtMillis = record.millis() + stayMillis;
    remainingAtMillis = record.millis() + remainingMillis;
    nextBeatMillis = 0;
    record.line(name + " reports draining, remaining_ms " + remainingMillis);
    beatIfDue();
  }

  /** Kills the worker; it starts again at its address after a while, as a new one. */
  void crash(long downMillis) throws IOException, InterruptedException {
    synchronized (this) {
      down = true;
      for (Run run : running.values()) {
        end(run, "lost with its worker");
      }
      record.line(name + " crashes with " + running.size() + " runs");
      running.clear();
      notifyAll();
    }
    server.close();
    String former = id;
    Thread.sleep(downMillis);
    begin();
    server.open();
    synchronized (this) {
      down = false;
      record.line(name + " starts again as " + id);
    }
    Thread expiry =
        new Thread(
            () -> {
              try {
                Thread.sleep(3 * HEARTBEAT_MILLIS);
              } catch (InterruptedException e) {
                return;
              }
              store.put("keyed.servers", former, null);
            });
    expiry.setDaemon(true);
    expiry.start();
  }

  private void live() {
    try {
      while (true) {
        step();
        Thread.sleep(5);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void step() {
    if (down) {
      return;
    }
    long now = record.millis();
    beatIfDue();
    for (Iterator<Run> runs = running.values().iterator(); runs.hasNext(); ) {
      Run run = runs.next();
      String how = null;
      if (now >= run.stopAtMillis) {
        how = "stopped";
      } else if (now >= run.endsAtMillis) {
        how = run.endsHow;
      } else if (clock() > leaseEndMillis) {
        how = "lapsed";
      }
      if (how != null) {
        runs.remove();
        end(run, how);
        ended.add(new End(++lastEnd, run));
        notifyAll();
      }
    }
    if (draining && now >= leavesAtMillis) {
      down = true;
      running.values().forEach(run -> end(run, "lost with its worker"));
      running.clear();
      server.close();
      store.put("keyed.servers", id, null);
      record.line(name + " has left");
      notifyAll();
    }
  }

  private void beatIfDue() {
    long now = record.millis();
    if (now < nextBeatMillis) {
      return;
    }
    nextBeatMillis = now + HEARTBEAT_MILLIS;
    String entry =
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
                .formatted(service, server.address(), zone)
            + "\"state\":\"%s\",\"cold_left_ms\":0,".formatted(draining ? "draining" : "ready")
            + (draining
                ? "\"remaining_ms\":%d,".formatted(Math.max(0, remainingAtMillis - now))
                : "")
            + "\"capacity\":{\"cpu\":64000,\"mem_mb\":131072,\"gpu\":%d},".formatted(gpu)
            + "\"labels\":[\"a\",\"%s\"],\"born\":%d,\"clock_ms\":%d,\"seq\":%d}"
                .formatted(rack, bornMillis, clock(), ++seq);
    store.put("keyed.servers", id, entry);
  }

  private void end(Run run, String how) {
    run.toMillis = record.millis();
    run.how = how;
    record.line(
        "%s: run %d of %s ends: %s".formatted(name, run.number, run.task, how));
  }

  private Http.Response handle(
      String path, Map<String, String> query, String instance, byte[] body)
      throws InterruptedException {
    synchronized (this) {
      if (cut) {
        // The request is lost: it is neither carried out nor answered.
        while (cut) {
          wait();
        }
        return null;
      }
      if (instance != null && !instance.equals(id)) {
        return answer(421, "");
      }
    }
    Map<String, Object> request = Json.object(new String(body, java.nio.charset.StandardCharsets.UTF_8));
    Http.Response response =
        switch (path) {
          case "/api/run-start" -> start(request);
          case "/api/run-stop" -> stop(request);
          case "/api/hold" -> hold(request);
          default -> Http.Response.json(404, "{}");
        };
    synchronized (this) {
      while (cut) {
        wait();
        response = null;
      }
      return down ? null : response;
    }
  }

  private Http.Response answer(int status, String more) {
    return Http.Response.json(status, "{\"clock_ms\":" + clock() + more + "}");
  }

  /** Returns whether the order is of a lower fence than one seen. */
  private boolean isFenced(Map<String, Object> request) {
    long token = Json.number(request, "fence", 0);
    if (token < fence) {
      return true;
    }
    fence = token;
    return false;
  }

  private void extend(Map<String, Object> request) {
    long deadline = Json.number(request, "deadline_ms", -1);
    leaseEndMillis = Math.max(leaseEndMillis, Math.min(deadline, clock() + MAX_HOLD_MILLIS));
  }

  private synchronized Http.Response start(Map<String, Object> request) {
    String task = Json.text(request, "task");
    int number = (int) Json.number(request, "run", 0);
    if (refusesStarts) {
      record.line(name + ": refuses run " + number + " of " + task + " with 503");
      return answer(503, "");
    }
    if (isFenced(request)) {
      return answer(409, ",\"reason\":\"fence\"");
    }
    long deadline = Json.number(request, "deadline_ms", -1);
    Run present = running.get(task);
    if (present != null && present.number == number) {
      extend(request);
      return answer(200, "");
    }
    if (number <= highest.getOrDefault(task, 0)) {
      extend(request);
      return answer(409, ",\"reason\":\"old\"");
    }
    if (deadline < clock()) {
      return answer(409, ",\"reason\":\"late\"");
    }
    extend(request);
    Run run = new Run(this, task, number, Json.text(request, "spec"), record.millis());
    Outcome outcome = script.of(run);
    run.endsAtMillis = run.fromMillis + outcome.afterMillis();
    run.endsHow = outcome.how();
    running.put(task, run);
    highest.put(task, number);
    history.add(run);
    record.line("%s: run %d of %s starts, fence %d".formatted(name, number, task, fence));
    return answer(200, "");
  }

  private synchronized Http.Response stop(Map<String, Object> request) {
    if (isFenced(request)) {
      return answer(409, ",\"reason\":\"fence\"");
    }
    String task = Json.text(request, "task");
    int number = (int) Json.number(request, "run", 0);
    Run run = running.get(task);
    if (run != null && run.number <= number) {
      run.stopAtMillis = Math.min(run.stopAtMillis, record.millis() + STOP_MILLIS / 2);
      record.line(name + ": is told to stop run " + number + " of " + task);
    }
    highest.merge(task, number, Math::max);
    return answer(200, "");
  }

  private synchronized Http.Response hold(Map<String, Object> request)
      throws InterruptedException {
    if (isFenced(request)) {
      return answer(409, ",\"reason\":\"fence\"");
    }
    extend(request);
    long seen = Json.number(request, "last_seen", 0);
    ended.stream().filter(end -> end.number() <= seen).forEach(end -> end.run().noted = true);
    ended.removeIf(end -> end.number() <= seen);
    long until = record.millis() + Math.min(2_000, Json.number(request, "wait_ms", 0));
    while (ended.isEmpty() && record.millis() < until && !cut && !down) {
      wait(Math.max(1, until - record.millis()));
    }
    StringBuilder rows = new StringBuilder();
    for (Run run : running.values()) {
      rows.append(rows.isEmpty() ? "" : ",")
          .append("[%s,%d,\"\",%d,0]".formatted(Json.quote(run.task), run.number, percent(run)));
    }
    StringBuilder ends = new StringBuilder();
    for (End end : ended.subList(0, Math.min(500, ended.size()))) {
      ends.append(ends.isEmpty() ? "" : ",")
          .append(
              "[%d,%s,%d,\"%s\",\"\"]"
                  .formatted(
                      end.number(), Json.quote(end.run().task), end.run().number, end.run().how));
    }
    return answer(
        200,
        ",\"born\":" + bornMillis + ",\"running\":[" + rows + "],\"ended\":[" + ends + "]");
  }

  private long percent(Run run) {
    if (run.endsAtMillis - run.fromMillis > 600_000) {
      return record.millis() - run.fromMillis > 300 ? 100 : 0;
    }
    return Math.min(
        99, (record.millis() - run.fromMillis) * 100 / Math.max(1, run.endsAtMillis - run.fromMillis));
  }
}
