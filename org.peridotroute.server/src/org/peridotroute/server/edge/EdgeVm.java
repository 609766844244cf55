package org.peridotroute.server.edge;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.peridotroute.http.AsyncHandler;
import org.peridotroute.http.HttpBytesReply;
import org.peridotroute.http.HttpCaller;
import org.peridotroute.http.HttpService;
import org.peridotroute.scheduler.dispatch.Dispatcher;
import org.peridotroute.scheduler.node.SchedulerVm;
import org.peridotroute.scheduler.plan.GangFirstPlacer;
import org.peridotroute.scheduler.plan.PlanSettings;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway;
import org.peridotroute.server.ring.Duty;
import org.peridotroute.server.ring.DutyRing;

/** The process on an entry VM that runs the scheduler. Started once and stopped once. */
public final class EdgeVm implements Duty<Runnable> {
  /** Events that may wait for the control thread; a second of the busiest at the target's size. */
  private static final int RING_SLOTS = 16_384;

  /** Longest time between two steps of the control thread. */
  private static final long TICK_MILLIS = 50;

  /** Part of the grace during which callers' open connections are still served. */
  private static final double SERVING_PART = 0.75;

  private static final String METRICS_PATH = "/metrics";
  private static final String DUMP_PATH = "/dump";
  private static final long MAX_BODY_BYTES = 1_048_576;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final EdgeSettings settings;
  private final EventLog events;
  private final HttpCaller caller = new HttpCaller();
  private final DutyRing<Runnable> control;
  private final CompletableFuture<Throwable> brokenInvariant = new CompletableFuture<>();
  private final SchedulerVm node;
  private final HttpService callers;
  private final HttpService readiness;

  /**
   * What the process meets its surroundings through.
   *
   * @param log makes the log's client
   * @param gateway makes the workers' client
   * @param decoder decodes what operators and workers write
   * @param frontDoor makes what serves callers
   */
  public record Adapters(
      BiFunction<HttpCaller, EdgeSettings, KeyedLog> log,
      BiFunction<HttpCaller, EdgeSettings, WorkerGateway> gateway,
      SchedulerVm.Decoder decoder,
      BiFunction<SchedulerVm, EventLog, AsyncHandler> frontDoor) {}

  /**
   * Creates the process.
   *
   * @param settings its settings
   * @param adapters what it meets its surroundings through
   * @param events where events go
   */
  public EdgeVm(EdgeSettings settings, Adapters adapters, EventLog events) {
    this.settings = settings;
    this.events = events;
    control = new DutyRing<>("control", RING_SLOTS, TICK_MILLIS, this, this::broken);
    Executor onControl = control::put;
    String incarnation = Long.toHexString(System.currentTimeMillis() ^ System.nanoTime());
    Dispatcher.Ports ports =
        new Dispatcher.Ports(
            adapters.log().apply(caller, settings),
            adapters.gateway().apply(caller, settings),
            onControl,
            Time.SYSTEM,
            events,
            new GangFirstPlacer(
                new PlanSettings(
                    settings.farFactor(), settings.reclaimMillis(), settings.stopMillis())));
    node = new SchedulerVm(settings.node(incarnation), ports, adapters.decoder());
    callers = server(settings.callers(), adapters.frontDoor().apply(node, events));
    readiness = server(settings.readiness(), this::probe);
  }

  private static HttpService server(String address, AsyncHandler handler) {
    int colon = address.lastIndexOf(':');
    return HttpService.newBuilder(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))
        .setAsync(handler)
        .setMaxBodyBytes(MAX_BODY_BYTES)
        .setWorkerThreads(1)
        .build();
  }

  /** Answers the balancer's probe, and serves metrics and a dump beside it. */
  private CompletableFuture<HttpBytesReply.Outgoing> probe(AsyncHandler.Incoming request) {
    return switch (request.path()) {
      case METRICS_PATH -> answer(OK, events.metrics().text());
      case DUMP_PATH -> dumped();
      default -> answer(node.isReady() ? OK : UNAVAILABLE, "{}");
    };
  }

  private CompletableFuture<HttpBytesReply.Outgoing> dumped() {
    CompletableFuture<HttpBytesReply.Outgoing> answer = new CompletableFuture<>();
    control.put(
        () -> answer.complete(new HttpBytesReply.Outgoing(OK, Map.of(), node.describe() + "\n")));
    return answer;
  }

  private static CompletableFuture<HttpBytesReply.Outgoing> answer(int status, String body) {
    return CompletableFuture.completedFuture(new HttpBytesReply.Outgoing(status, Map.of(), body));
  }

  /** Starts. */
  public void start() {
    events.start();
    caller.start();
    control.start();
    readiness.start();
    callers.start();
    control.put(node::start);
    events.info("process-started", "dataCentre", settings.dataCentre(), "store", settings.store());
  }

  /**
   * Stops: hands the planner's role on, tells the balancer, serves open connections for most of the
   * grace, then ends.
   */
  public void stop() {
    events.info("process-stopping", "graceMillis", settings.graceMillis());
    CountDownLatch left = new CountDownLatch(1);
    control.put(
        () -> {
          node.leave();
          left.countDown();
        });
    try {
      if (!left.await(1, TimeUnit.SECONDS)) {
        events.warn("planner-not-handed-over");
      }
      Thread.sleep((long) (settings.graceMillis() * SERVING_PART));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    events.info("process-stopped");
    callers.stop(0);
    readiness.stop(0);
    control.stop();
    caller.stop();
    events.stop();
  }

  private void broken(Throwable cause) {
    events.write(System.Logger.Level.ERROR, "broken-invariant", "cause", cause.toString());
    brokenInvariant.complete(cause);
  }

  /** Completes when an invariant is broken, with what was thrown. */
  public CompletableFuture<Throwable> brokenInvariant() {
    return brokenInvariant;
  }

  /** Asks for a line that tells what this VM believes. */
  public void dump() {
    control.put(() -> events.info("state", "state", node.describe()));
  }

  @Override
  public void onEvent(Runnable event) {
    event.run();
  }

  @Override
  public void onStep() {
    node.step();
  }
}
