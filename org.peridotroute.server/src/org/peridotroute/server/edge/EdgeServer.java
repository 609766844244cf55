package org.peridotroute.server.edge;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.peridotroute.http.AsyncHandler;
import org.peridotroute.http.HttpBytesReply;
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpServer;
import org.peridotroute.scheduler.dispatch.Dispatcher;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.PolicySettings;
import org.peridotroute.scheduler.node.SchedulerVm;
import org.peridotroute.scheduler.plan.GangFirstPlacer;
import org.peridotroute.scheduler.plan.PlanSettings;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway;
import org.peridotroute.server.ring.EventRing;
import org.peridotroute.server.ring.RingConsumer;

/** The scheduler process on an entry VM. Can be started once and stopped once. */
public final class EdgeServer implements RingConsumer<Runnable> {
  /**
   * Capacity of the control thread's ring: one second of events at peak load in a cluster of the
   * target size.
   */
  private static final int RING_SLOTS = 16_384;

  /** Longest interval between two steps of the scheduler. */
  private static final long TICK_MILLIS = 50;

  /** Fraction of the grace period during which open connections of callers are still served. */
  private static final double SERVING_FRACTION = 0.75;

  private static final String METRICS_PATH = "/metrics";
  private static final String DUMP_PATH = "/dump";
  private static final long MAX_BODY_BYTES = 1_048_576;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final EdgeSettings settings;
  private final EventLog events;
  private final HttpClient httpClient = new HttpClient();
  private final EventRing<Runnable> control;
  private final CompletableFuture<Throwable> brokenInvariant = new CompletableFuture<>();
  private final SchedulerVm schedulerVm;
  private final ExplainHandler explainHandler;
  private final HttpServer callerService;
  private final HttpServer readinessService;

  /**
   * Factories of the platform-specific parts of the process.
   *
   * @param log creates the client of the log
   * @param gateway creates the client of the workers
   * @param decoder decodes the configuration and worker records
   * @param callerHandler creates the handler of callers' requests
   * @param contractFeatures returns the features that the platform's contracts call for
   */
  public record Adapters(
      BiFunction<HttpClient, EdgeSettings, KeyedLog> log,
      BiFunction<HttpClient, EdgeSettings, WorkerGateway> gateway,
      SchedulerVm.Decoder decoder,
      BiFunction<SchedulerVm, EventLog, AsyncHandler> callerHandler,
      Function<List<String>, Set<Feature>> contractFeatures) {}

  /**
   * Creates the process.
   *
   * @param settings its settings
   * @param adapters factories of the platform-specific parts
   * @param events event log, which {@link #start} starts and {@link #stop} stops
   */
  public EdgeServer(EdgeSettings settings, Adapters adapters, EventLog events) {
    this.settings = settings;
    this.events = events;
    control = new EventRing<>("control", RING_SLOTS, TICK_MILLIS, this, this::onBrokenInvariant);
    Executor onControl = control::put;
    String incarnation = Long.toHexString(System.currentTimeMillis() ^ System.nanoTime());
    PolicySettings policy =
        settings.toPolicySettings(adapters.contractFeatures().apply(settings.contracts()));
    Dispatcher.Ports ports =
        new Dispatcher.Ports(
            adapters.log().apply(httpClient, settings),
            adapters.gateway().apply(httpClient, settings),
            onControl,
            Time.SYSTEM,
            events,
            new GangFirstPlacer(
                new PlanSettings(
                    settings.farFactor(),
                    settings.reclaimMillis(),
                    settings.stopMillis(),
                    policy)));
    schedulerVm =
        new SchedulerVm(
            settings.toSchedulerVmSettings(incarnation, policy), ports, adapters.decoder());
    explainHandler = new ExplainHandler(schedulerVm::explainer, onControl, Time.SYSTEM);
    callerService =
        newService(settings.callers(), adapters.callerHandler().apply(schedulerVm, events));
    readinessService = newService(settings.readiness(), this::handleProbe);
  }

  private static HttpServer newService(String address, AsyncHandler handler) {
    int colon = address.lastIndexOf(':');
    return HttpServer.newBuilder(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))
        .setAsyncHandler(handler)
        .setMaxBodyBytes(MAX_BODY_BYTES)
        .setWorkerThreads(1)
        .build();
  }

  /** Handles the load balancer's readiness probe and the paths for operators. */
  private CompletableFuture<HttpBytesReply.Outgoing> handleProbe(AsyncHandler.Incoming request) {
    return switch (request.path()) {
      case METRICS_PATH -> respond(OK, events.metrics().toPrometheusText());
      case DUMP_PATH -> stateDump();
      case ExplainHandler.PATH -> explainHandler.handle(request);
      default -> respond(schedulerVm.isReady() ? OK : UNAVAILABLE, "{}");
    };
  }

  private CompletableFuture<HttpBytesReply.Outgoing> stateDump() {
    CompletableFuture<HttpBytesReply.Outgoing> response = new CompletableFuture<>();
    control.put(
        () ->
            response.complete(
                new HttpBytesReply.Outgoing(OK, Map.of(), schedulerVm.describe() + "\n")));
    return response;
  }

  private static CompletableFuture<HttpBytesReply.Outgoing> respond(int status, String body) {
    return CompletableFuture.completedFuture(new HttpBytesReply.Outgoing(status, Map.of(), body));
  }

  /** Starts the threads and servers of the process. */
  public void start() {
    events.start();
    httpClient.start();
    control.start();
    readinessService.start();
    callerService.start();
    control.put(schedulerVm::start);
    events.info("process-started", "dataCentre", settings.dataCentre(), "store", settings.store());
  }

  /**
   * Stops the process: resigns the planner role and fails the readiness probe, serves open
   * connections for most of the grace period, then stops the threads and servers.
   */
  public void stop() {
    events.info("process-stopping", "graceMillis", settings.graceMillis());
    CountDownLatch resigned = new CountDownLatch(1);
    control.put(
        () -> {
          schedulerVm.leave();
          resigned.countDown();
        });
    try {
      if (!resigned.await(1, TimeUnit.SECONDS)) {
        events.warn("planner-not-handed-over");
      }
      Thread.sleep((long) (settings.graceMillis() * SERVING_FRACTION));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    events.info("process-stopped");
    callerService.stop(0);
    readinessService.stop(0);
    control.stop();
    httpClient.stop();
    events.stop();
  }

  private void onBrokenInvariant(Throwable cause) {
    events.write(System.Logger.Level.ERROR, "broken-invariant", "cause", cause.toString());
    brokenInvariant.complete(cause);
  }

  /** Completes with the exception that showed a broken invariant; the process must then end. */
  public CompletableFuture<Throwable> brokenInvariant() {
    return brokenInvariant;
  }

  /** Writes a summary of this VM's state to the event log. */
  public void dump() {
    control.put(() -> events.info("state", "state", schedulerVm.describe()));
  }

  @Override
  public void onEvent(Runnable event) {
    event.run();
  }

  @Override
  public void onBatchEnd() {
    schedulerVm.step();
  }
}
