package org.peridotroute.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.peridotroute.control.TaskCommand;
import org.peridotroute.control.TaskReport;
import org.peridotroute.errors.RecordsExpiredException;
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.HttpRequest;
import org.peridotroute.http.HttpServer;
import org.peridotroute.http.Json;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.RackId;
import org.peridotroute.lib.VmInfo;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.lib.WorkerInfo;
import org.peridotroute.platform.AppendReply;
import org.peridotroute.platform.AppendRequest;
import org.peridotroute.platform.CommandBatch;
import org.peridotroute.platform.DirectoryReply;
import org.peridotroute.platform.ExpiredReply;
import org.peridotroute.platform.LogPage;
import org.peridotroute.platform.ReportBatch;

/**
 * The platform on one port: log, list of machines and workers, as docs/PLATFORM.md describes them,
 * and one more resource to give it faults. Probes the declared VMs to keep its list. Started once
 * and stopped once.
 */
public final class PlatformStandIn {
  private static final int WORKER_THREADS = 64;
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final long PROBE_MILLIS = 500;
  private static final int MAX_LISTINGS = 256;
  private static final long SILENT_MILLIS = 4_000;
  private static final long PAUSE_POLL_MILLIS = 20;
  private static final long DRAIN_MILLIS = 200;

  private final LogStandIn log = new LogStandIn();
  private final Map<WorkerId, WorkerStandIn> workers = new TreeMap<>();
  private final List<VmInfo> vms = new CopyOnWriteArrayList<>();
  private final HttpServer http;
  private final HttpClient probes = new HttpClient();
  private final ScheduledExecutorService prober =
      Executors.newSingleThreadScheduledExecutor(PlatformStandIn::daemon);
  private final Set<String> silentWorkers = ConcurrentHashMap.newKeySet();
  private final Set<String> leavingWorkers = ConcurrentHashMap.newKeySet();
  private final Set<String> pausedWorkers = ConcurrentHashMap.newKeySet();
  private final Set<String> answerlessWorkers = ConcurrentHashMap.newKeySet();
  private final AtomicInteger silentCalls = new AtomicInteger();
  private final Deque<Listing> listings = new ArrayDeque<>();
  private volatile long logDelayMillis;
  private volatile long listLagMillis;

  /** The list as it was at one moment. */
  private record Listing(long atMillis, long version, Directory directory) {}

  private PlatformStandIn(Builder builder) {
    vms.addAll(builder.vms);
    http =
        HttpServer.newBuilder("127.0.0.1", builder.port)
            .setWorkerThreads(WORKER_THREADS)
            .setMaxBodyBytes(MAX_BODY_BYTES)
            .route("POST", "/v1/streams/{stream}/records", this::append)
            .route("GET", "/v1/streams/{stream}/records", this::read)
            .route("GET", "/v1/directory", this::list)
            .route("POST", "/workers/{worker}/v1/tasks", this::tasks)
            .route("GET", "/workers/{worker}/v1/runs", this::runs)
            .route("POST", "/v1/faults", this::faults)
            .build();
    for (int rack = 0; rack < builder.racks; rack++) {
      for (int i = 0; i < builder.workersPerRack; i++) {
        addWorker(rack, i, builder);
      }
    }
  }

  /**
   * Starts a description.
   *
   * @param port the port, 0 for any free one
   * @return the builder
   */
  public static Builder newBuilder(int port) {
    return new Builder(port);
  }

  /** Starts listening and probing. */
  public void start() {
    http.start();
    probes.start();
    listings.add(new Listing(nowMillis(), 1, directory(List.of())));
    var unused = prober.scheduleWithFixedDelay(this::probe, 0, PROBE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Adds a VM to probe.
   *
   * @param vm the VM
   */
  public void addVm(VmInfo vm) {
    vms.add(vm);
  }

  /** Stops. */
  public void stop() {
    prober.shutdownNow();
    log.setDown(true);
    http.stop(DRAIN_MILLIS);
    probes.stop();
  }

  /** Returns the platform's URL. */
  public String url() {
    return http.url();
  }

  /** Returns the log. */
  public LogStandIn log() {
    return log;
  }

  /**
   * Returns a worker.
   *
   * @param id its name
   * @return the worker, null if there is none
   */
  public WorkerStandIn worker(WorkerId id) {
    return workers.get(id);
  }

  private static Thread daemon(Runnable duty) {
    Thread thread = new Thread(duty, "platform-prober");
    thread.setDaemon(true);
    return thread;
  }

  private void addWorker(int rack, int number, Builder builder) {
    String place = builder.places.get(rack % builder.places.size());
    WorkerId id = new WorkerId("w-%d-%d".formatted(rack + 1, number + 1));
    WorkerInfo info =
        new WorkerInfo(
            id,
            new RackId("rack-" + (rack + 1)),
            new PlaceId(place),
            builder.acceleratorsPerWorker,
            false,
            null);
    workers.put(id, new WorkerStandIn(info));
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private HttpReply append(HttpRequest request) throws Exception {
    AppendRequest append = Json.read(request.body(), AppendRequest.class);
    if (logDelayMillis > 0) {
      Thread.sleep(logDelayMillis);
    }
    return HttpReply.ok(new AppendReply(log.append(request.parameter("stream"), append.records())));
  }

  private HttpReply read(HttpRequest request) {
    String stream = request.parameter("stream");
    long from = Long.parseLong(request.parameter("from"));
    int max = Integer.parseInt(request.parameter("max"));
    try {
      LogPage page = log.read(stream, from, max);
      if (page.records().isEmpty()) {
        log.await(stream, from, Long.parseLong(request.parameter("waitMillis")));
        page = log.read(stream, from, max);
      }
      return HttpReply.ok(page);
    } catch (RecordsExpiredException e) {
      return new HttpReply(HttpReply.GONE, Json.write(new ExpiredReply(e.earliestOffset())));
    }
  }

  private HttpReply tasks(HttpRequest request) throws Exception {
    WorkerStandIn worker = workers.get(new WorkerId(request.parameter("worker")));
    awaitHealed(request.parameter("worker"));
    if (worker == null || silentWorkers.contains(request.parameter("worker"))) {
      return new HttpReply(HttpReply.UNAVAILABLE, Json.write("no such worker, or it is silent"));
    }
    List<TaskReport> reports = new ArrayList<>();
    for (TaskCommand command : Json.read(request.body(), CommandBatch.class).commands()) {
      reports.add(worker.handle(command, nowMillis()));
    }
    if (silentCalls.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
      Thread.sleep(SILENT_MILLIS);
    }
    if (answerlessWorkers.contains(request.parameter("worker"))) {
      return new HttpReply(HttpReply.UNAVAILABLE, Json.write("the answer was lost"));
    }
    return HttpReply.ok(ReportBatch.of(reports));
  }

  private void awaitHealed(String worker) throws InterruptedException {
    while (pausedWorkers.contains(worker)) {
      Thread.sleep(PAUSE_POLL_MILLIS);
    }
  }

  private HttpReply runs(HttpRequest request) {
    WorkerStandIn worker = workers.get(new WorkerId(request.parameter("worker")));
    return worker == null
        ? new HttpReply(HttpReply.NOT_FOUND, Json.write("no such worker"))
        : HttpReply.ok(worker.runs());
  }

  private HttpReply faults(HttpRequest request) throws Exception {
    apply(Json.read(request.body(), Faults.class));
    return HttpReply.ok("done");
  }

  /**
   * Gives the platform faults.
   *
   * @param faults the faults
   */
  public void apply(Faults faults) {
    if (faults.logDown() != null) {
      log.setDown(faults.logDown());
    }
    if (faults.logDelayMillis() != null) {
      logDelayMillis = faults.logDelayMillis();
    }
    if (faults.loseAppendAnswers() != null) {
      log.loseAnswers(faults.loseAppendAnswers());
    }
    if (faults.retainRecords() != null) {
      log.retain("journal", faults.retainRecords());
      log.retain("config", faults.retainRecords());
    }
    if (faults.listLagMillis() != null) {
      listLagMillis = faults.listLagMillis();
    }
    applyToWorkers(faults);
  }

  private void applyToWorkers(Faults faults) {
    if (faults.failingWorker() != null) {
      workers.get(new WorkerId(faults.failingWorker())).setFailingAll(true);
    }
    if (faults.silentWorker() != null) {
      silentWorkers.add(faults.silentWorker());
    }
    if (faults.pausedWorker() != null) {
      pausedWorkers.add(faults.pausedWorker());
    }
    if (faults.answerlessWorker() != null) {
      answerlessWorkers.add(faults.answerlessWorker());
    }
    if (faults.silentCalls() != null) {
      silentCalls.set(faults.silentCalls());
    }
    if (faults.leavingWorker() != null) {
      leavingWorkers.add(faults.leavingWorker());
    }
    if (faults.healedWorker() != null) {
      workers.get(new WorkerId(faults.healedWorker())).setFailingAll(false);
      silentWorkers.remove(faults.healedWorker());
      leavingWorkers.remove(faults.healedWorker());
      pausedWorkers.remove(faults.healedWorker());
      answerlessWorkers.remove(faults.healedWorker());
    }
  }

  private HttpReply list(HttpRequest request) {
    Listing seen = lagged();
    String known = request.parameter("version");
    boolean same = Long.toString(seen.version()).equals(known);
    return HttpReply.ok(new DirectoryReply(seen.version(), same ? null : seen.directory()));
  }

  private synchronized Listing lagged() {
    long seenAtMillis = nowMillis() - listLagMillis;
    Listing seen = listings.peekFirst();
    for (Listing listing : listings) {
      if (listing.atMillis() <= seenAtMillis) {
        seen = listing;
      }
    }
    return seen;
  }

  private void probe() {
    List<CompletableFuture<VmInfo>> answers = vms.stream().map(this::probe).toList();
    List<VmInfo> live =
        answers.stream().map(CompletableFuture::join).filter(vm -> vm != null).toList();
    synchronized (this) {
      Directory latest = directory(live);
      Listing last = listings.peekLast();
      if (!latest.equals(last.directory())) {
        listings.addLast(new Listing(nowMillis(), last.version() + 1, latest));
      }
      if (listings.size() > MAX_LISTINGS) {
        listings.removeFirst();
      }
    }
  }

  private CompletableFuture<VmInfo> probe(VmInfo vm) {
    return probes
        .call("GET", vm.url() + "/v1/health", null, PROBE_MILLIS)
        .handle(
            (reply, failure) -> {
              if (failure != null
                  || (reply.status() == HttpReply.UNAVAILABLE
                      && !reply.body().contains("leaving"))) {
                return null;
              }
              return new VmInfo(vm.id(), vm.place(), !reply.isOk(), vm.url(), vm.peer());
            });
  }

  private Directory directory(List<VmInfo> live) {
    List<WorkerInfo> infos =
        workers.values().stream().map(worker -> describe(worker.info())).toList();
    return new Directory(live, infos);
  }

  private WorkerInfo describe(WorkerInfo info) {
    return new WorkerInfo(
        info.id(),
        info.rack(),
        info.place(),
        info.accelerators(),
        leavingWorkers.contains(info.id().value()),
        http.url() + "/workers/" + info.id());
  }

  /** Builder of a {@link PlatformStandIn}. Not safe for use by several threads. */
  public static final class Builder {
    private final int port;
    private int racks = 2;
    private int workersPerRack = 4;
    private int acceleratorsPerWorker = 8;
    private List<String> places = List.of("quimper");
    private List<VmInfo> vms = List.of();

    private Builder(int port) {
      this.port = port;
    }

    /** Sets the number of racks. */
    public Builder setRacks(int value) {
      racks = value;
      return this;
    }

    /** Sets the number of workers in each rack. */
    public Builder setWorkersPerRack(int value) {
      workersPerRack = value;
      return this;
    }

    /** Sets the number of accelerators of each worker. */
    public Builder setAcceleratorsPerWorker(int value) {
      acceleratorsPerWorker = value;
      return this;
    }

    /** Sets the names of the places, over which racks are dealt in turn. */
    public Builder setPlaces(List<String> value) {
      places = List.copyOf(value);
      return this;
    }

    /** Sets the VMs to probe. */
    public Builder setVms(List<VmInfo> value) {
      vms = List.copyOf(value);
      return this;
    }

    /** Returns the platform, not yet started. */
    public PlatformStandIn build() {
      return new PlatformStandIn(this);
    }
  }
}
