package org.peridotroute.server;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.peridotroute.control.PendingProposals;
import org.peridotroute.control.Planner;
import org.peridotroute.control.RecordSink;
import org.peridotroute.fold.JobFold;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.HttpServer;
import org.peridotroute.http.Json;
import org.peridotroute.lib.Incarnation;
import org.peridotroute.platform.LogClient;
import org.peridotroute.policy.GuaranteedBestFit;
import org.peridotroute.proto.PeerStatus;
import org.peridotroute.server.api.ApiErrors;
import org.peridotroute.server.api.ApiException;
import org.peridotroute.server.api.ClusterResource;
import org.peridotroute.server.api.Committer;
import org.peridotroute.server.api.ErrorCode;
import org.peridotroute.server.api.JobResource;
import org.peridotroute.server.api.OrganisationResource;
import org.peridotroute.server.api.PeerResource;
import org.peridotroute.server.client.HttpDirectoryClient;
import org.peridotroute.server.client.HttpLogClient;
import org.peridotroute.server.client.HttpWorkerGateway;
import org.peridotroute.server.client.SnapshotStore;
import org.peridotroute.server.peer.PeerService;
import org.peridotroute.server.ring.EventRing;
import org.peridotroute.server.service.BootService;
import org.peridotroute.server.service.DirectoryService;
import org.peridotroute.server.service.DriverService;
import org.peridotroute.server.service.Event;
import org.peridotroute.server.service.FoldService;
import org.peridotroute.server.service.FoldedState;
import org.peridotroute.server.service.LogWriterService;
import org.peridotroute.server.service.LoggingSink;
import org.peridotroute.server.service.PlannerService;
import org.peridotroute.server.service.ProcessHealth;
import org.peridotroute.server.service.SnapshotService;
import org.peridotroute.server.service.StreamNames;
import org.peridotroute.server.settings.Setting;
import org.peridotroute.server.settings.Settings;
import org.peridotroute.snapshot.Snapshot;

/**
 * The server process of an entry VM. Creates and connects its services. Must be started once and
 * stopped once, by the same thread.
 */
public final class EntryVm {
  private static final System.Logger LOGGER = System.getLogger(EntryVm.class.getName());
  private static final int INCARNATION_BYTES = 8;

  private final Settings settings;
  private final Incarnation incarnation = newIncarnation();
  private final ProcessHealth health = new ProcessHealth();
  private final FoldedState state = new FoldedState();
  private final MetricRegistry metrics = new MetricRegistry();
  private final CompletableFuture<Throwable> brokenInvariant = new CompletableFuture<>();
  private final PendingProposals journalProposals = new PendingProposals(incarnation);
  private final PendingProposals configProposals = new PendingProposals(incarnation);
  private final HttpClient caller = new HttpClient();
  private final DirectoryService directory;
  private final PeerService peers;
  private final BootService boot;
  private final SnapshotService snapshots;
  private final LogWriterService journalWriter;
  private final LogWriterService configWriter;
  private final FoldService fold;
  private final PlannerService planner;
  private final DriverService driver;
  private final HttpServer http;

  /**
   * Creates the process without starting it.
   *
   * @param settings the settings
   */
  public EntryVm(Settings settings) {
    this.settings = settings;
    long timeoutMillis = settings.number(Setting.PLATFORM_TIMEOUT);
    String platformUrl = settings.text(Setting.PLATFORM_URL);
    LogClient log = new HttpLogClient(caller, platformUrl, timeoutMillis);
    directory =
        new DirectoryService(
            new HttpDirectoryClient(caller, platformUrl, timeoutMillis),
            health,
            settings.number(Setting.PLATFORM_LIST),
            this::requestSteps);
    journalWriter = newWriter(StreamNames.JOURNAL, log, journalProposals);
    configWriter = newWriter(StreamNames.CONFIG, log, configProposals);
    SnapshotStore store = new SnapshotStore(log);
    peers = newPeers();
    boot = new BootService(store, peers, health, this::onStateLoaded);
    fold =
        new FoldService(
            log,
            store,
            state,
            health,
            journalProposals,
            configProposals,
            this::requestSteps,
            brokenInvariant::complete);
    RecordSink journal = new LoggingSink(settings.vmId(), journalWriter);
    planner = newPlanner(journal);
    snapshots = newSnapshots(store);
    HttpWorkerGateway gateway =
        new HttpWorkerGateway(caller, directory::directory, settings.number(Setting.GANG_CALL));
    driver =
        new DriverService(
            settings.vmId(),
            settings.gangTimes(),
            state,
            peers::liveDirectory,
            health,
            gateway,
            journal,
            brokenInvariant::complete);
    http = newHttp(journal, new LoggingSink(settings.vmId(), configWriter));
    registerMetrics();
  }

  /**
   * Starts all services, with the resource API after those that it uses. The fold and the snapshots
   * start only when the initial state has been loaded.
   */
  public void start() {
    caller.start();
    directory.start();
    peers.start();
    journalWriter.start();
    configWriter.start();
    planner.start();
    driver.start();
    http.start();
    boot.start();
    Event.of("started")
        .with("vm", settings.vmId())
        .with("incarnation", incarnation)
        .with("url", http.url())
        .log(LOGGER, System.Logger.Level.INFO);
  }

  /**
   * Stops gracefully: announces the stop, keeps running until the load balancer and the other VMs
   * have noticed it, completes requests in flight, and then stops all services.
   */
  public void stop() {
    Event.of("leaving").with("vm", settings.vmId()).log(LOGGER, System.Logger.Level.INFO);
    health.markLeaving();
    sleep(settings.number(Setting.API_LEAVE));
    state.jobHistory().close();
    state.organisationHistory().close();
    http.stop(settings.number(Setting.API_DRAIN));
    boot.stop();
    snapshots.stop();
    planner.stop();
    driver.stop();
    journalWriter.stop();
    configWriter.stop();
    fold.stop();
    peers.stop();
    directory.stop();
    caller.stop();
    Event.of("stopped").with("vm", settings.vmId()).log(LOGGER, System.Logger.Level.INFO);
  }

  /** Returns the URL of the resource API. Valid after the start. */
  public String url() {
    return http.url();
  }

  /** Returns the address at which peers reach the process. Valid after the start. */
  public String peerAddress() {
    return peers.address();
  }

  /** Returns the readiness of the process. */
  public ProcessHealth health() {
    return health;
  }

  /** Completes with the cause if an invariant is violated. The process must then be stopped. */
  public CompletableFuture<Throwable> brokenInvariant() {
    return brokenInvariant;
  }

  /** Returns a diagnostic dump of the process. */
  public Dump dump() {
    List<EventRing<?>> rings =
        List.of(
            fold.ring(), journalWriter.ring(), configWriter.ring(), planner.ring(), driver.ring());
    return new Dump(
        settings.vmId(),
        incarnation.value(),
        health.notReadyReasons(),
        state.jobs().offset(),
        state.config().offset(),
        state.jobs().planner(),
        planner.planner().holdsRole(state.jobs()),
        planner.planner().pendingProposals(),
        journalProposals.size() + configProposals.size(),
        driver.driver().size(),
        caller.openConnections(),
        rings.stream()
            .map(ring -> new Dump.RingUsage(ring.name(), ring.slots(), ring.used()))
            .toList(),
        JobFold.invariantViolations(state.jobs()).stream().sorted().toList(),
        directory.directory().vms(),
        List.copyOf(state.jobs().jobs().values()),
        List.copyOf(state.jobs().allocations().values()),
        settings.effectiveValues());
  }

  private static Incarnation newIncarnation() {
    byte[] random = new byte[INCARNATION_BYTES];
    new SecureRandom().nextBytes(random);
    return new Incarnation("i" + HexFormat.of().formatHex(random));
  }

  private LogWriterService newWriter(String stream, LogClient log, PendingProposals proposals) {
    return LogWriterService.newBuilder(stream, log, proposals)
        .setRingSlots((int) settings.number(Setting.LOG_SLOTS))
        .setMaxRecords((int) settings.number(Setting.LOG_BATCH))
        .setAppendsPerSecond((int) settings.number(Setting.LOG_APPENDS))
        .setStallMillis(settings.number(Setting.LOG_STALL))
        .setOnBrokenInvariant(brokenInvariant::complete)
        .build();
  }

  private SnapshotService newSnapshots(SnapshotStore store) {
    return new SnapshotService(
        store,
        state,
        () -> planner.planner().holdsRole(state.jobs()),
        incarnation.value(),
        settings.number(Setting.SNAPSHOT_RECORDS),
        settings.number(Setting.SNAPSHOT_MILLIS));
  }

  private PeerService newPeers() {
    return PeerService.newBuilder(
            settings.vmId(),
            settings.text(Setting.PEER_HOST),
            (int) settings.number(Setting.PEER_PORT))
        .setStatusMillis(settings.number(Setting.PEER_STATUS))
        .setSuspectMillis(settings.number(Setting.PEER_SUSPECT))
        .setListedDirectory(directory::directory)
        .setOwnStatus(this::ownStatus)
        .setOwnState(() -> health.canAct() ? Optional.of(state.snapshot()) : Optional.empty())
        .setOnChange(this::requestSteps)
        .build();
  }

  private void onStateLoaded(Snapshot snapshot) {
    fold.start(snapshot);
    snapshots.start();
  }

  private PeerStatus ownStatus() {
    return PeerStatus.newBuilder()
        .setVm(settings.vmId().value())
        .setIncarnation(incarnation.value())
        .setPlace(settings.place().value())
        .setJournalOffset(state.jobs().offset())
        .setConfigOffset(state.config().offset())
        .setDrivenGangs(driver.driver().size())
        .setOpenJobs(state.jobs().openJobs())
        .setReady(health.notReadyReasons().isEmpty())
        .setLeaving(health.isLeaving())
        .build();
  }

  private PlannerService newPlanner(RecordSink journal) {
    GuaranteedBestFit policy = new GuaranteedBestFit(settings.number(Setting.PLANNER_HOLD_RACK));
    Planner newPlanner =
        new Planner(settings.vmId(), incarnation, settings.plannerTimes(), policy, journal);
    return new PlannerService(
        newPlanner, state, peers::liveDirectory, health, brokenInvariant::complete);
  }

  private HttpServer newHttp(RecordSink journal, RecordSink config) {
    long timeoutMillis = settings.number(Setting.API_COMMIT_TIMEOUT);
    HttpServer.Builder builder =
        HttpServer.newBuilder(
                settings.text(Setting.API_HOST), (int) settings.number(Setting.API_PORT))
            .setWorkerThreads((int) settings.number(Setting.API_THREADS))
            .setMaxBodyBytes(settings.number(Setting.API_MAX_BODY))
            .setIdPrefix(settings.vmId().value())
            .setErrorMapper(new ApiErrors());
    new JobResource(
            state,
            directory::directory,
            new Committer(journal, journalWriter, health, timeoutMillis))
        .addTo(builder);
    new OrganisationResource(
            state, directory::directory, new Committer(config, configWriter, health, timeoutMillis))
        .addTo(builder);
    new PeerResource(this::ownStatus, peers).addTo(builder);
    new ClusterResource(state, directory::directory).addTo(builder);
    return builder
        .route("GET", "/v1/health", request -> healthReply())
        .route("GET", "/v1/dump", request -> HttpReply.ok(dump()))
        .route("GET", "/v1/metrics", request -> HttpReply.ok(gaugeValues()))
        .fallback(
            request -> {
              throw new ApiException(
                  ErrorCode.NO_SUCH_PATH, "no " + request.method() + " on " + request.path());
            })
        .build();
  }

  private HttpReply healthReply() {
    List<String> reasons = health.notReadyReasons();
    return new HttpReply(
        reasons.isEmpty() ? HttpReply.OK : HttpReply.UNAVAILABLE, Json.write(reasons));
  }

  private void registerMetrics() {
    registerGauge("journal.offset", () -> state.jobs().offset());
    registerGauge("journal.appends", journalWriter::appends);
    registerGauge("journal.records", journalWriter::records);
    registerGauge("config.offset", () -> state.config().offset());
    registerGauge("snapshot.offset", snapshots::lastOffset);
    registerGauge("jobs.open", () -> state.jobs().openJobs());
    registerGauge("jobs.running", this::runningJobs);
    registerGauge("accelerators.held", () -> state.jobs().holders().size());
    registerGauge("driver.gangs", driver.driver()::size);
    registerGauge("http.connections", caller::openConnections);
    registerGauge("http.calls", caller::callCount);
    registerGauge("http.sentBytes", caller::sentBytes);
    registerGauge("http.receivedBytes", caller::receivedBytes);
    registerGauge("peer.bytes", () -> peers.traffic().bytes());
    registerGauge(
        "heap.usedBytes",
        () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
  }

  private long runningJobs() {
    return state.jobs().jobs().values().stream()
        .filter(job -> job.phase() == JobPhase.RUNNING)
        .count();
  }

  private <T extends Number> void registerGauge(String name, Gauge<T> gauge) {
    metrics.registerGauge(name, gauge);
  }

  private Map<String, Object> gaugeValues() {
    Map<String, Object> values = new TreeMap<>();
    metrics.getGauges().forEach((name, gauge) -> values.put(name, gauge.getValue()));
    return values;
  }

  private void requestSteps() {
    if (planner != null && driver != null) {
      planner.requestStep();
      driver.requestStep();
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
