package org.peridotroute.server.edge;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotroute.http.AsyncHandler;
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.HttpServer;
import org.peridotroute.http.Json;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.standin.world.SimulatedCluster;

/** Asks a handler, on a local port, about jobs of a simulated cluster that stands still. */
final class ExplainHandlerTest {
  private static final long CALL_MILLIS = 10_000;
  private static final String JOB =
      """
      {"organisation": "org", "queue": "queue-0", "request": {"payload": "", "steps": [
        {"count": 4, "need": {"milliCores": 8000, "memoryMb": 1000, "accelerators": 8},
         "estimateMillis": 2000, "gang": true, "sameRack": true}]}}
      """;

  private final SimulatedCluster cluster = new SimulatedCluster(1, 2, 8, Events.NONE);
  private final HttpClient httpClient = new HttpClient();
  private String asked;
  private final Time time = cluster.time();
  private HttpServer server;

  @BeforeEach
  void start() {
    cluster.time().pass(4_000);
    asked = cluster.planner().orElseThrow();
    ExplainHandler handler =
        new ExplainHandler(() -> cluster.explainer(asked), Runnable::run, time);
    server = HttpServer.newBuilder("127.0.0.1", 0).setAsyncHandler(handler).build();
    server.start();
    httpClient.start();
  }

  @AfterEach
  void stop() {
    server.stop(0);
    httpClient.stop();
  }

  private HttpReply call(String method, String query, String body) throws Exception {
    return httpClient
        .call(method, server.url() + ExplainHandler.PATH + query, body, CALL_MILLIS)
        .get();
  }

  private static String message(HttpReply reply) throws Exception {
    return Json.readTree(reply.body()).path("message").asText();
  }

  /** Guards against a job file in the product's names that is not understood. */
  @Test
  void jobFileIsExplained() throws Exception {
    HttpReply reply = call("POST", "", JOB);
    assertThat(reply.status()).isEqualTo(200);
    ExplanationView view = Json.read(reply.body(), ExplanationView.class);
    assertThat(view.queue()).isEqualTo("queue-0");
    assertThat(view.vm()).isEqualTo(asked);
    assertThat(view.configurationVersion()).isEqualTo(1);
    assertThat(view.viewAgeMillis()).isAtLeast(0);
    assertThat(view.steps()).hasSize(1);
    assertThat(view.steps().get(0).outcome()).isEqualTo("STARTS");
    assertThat(view.steps().get(0).starts()).hasSize(4);
    assertThat(view.steps().get(0).racks().get(0).fittingNow()).isEqualTo(4);
  }

  /** Guards against a job file that has to spell out empty values. */
  @Test
  void emptyValuesMayBeLeftOut() throws Exception {
    assertThat(call("POST", "", JOB.replace("\"payload\": \"\", ", "")).status()).isEqualTo(200);
  }

  /** Guards against an error of the asker that ends the process or gets an empty reply. */
  @Test
  void invalidQuestionsAreRefusedWithTheReason() throws Exception {
    HttpReply range = call("POST", "", JOB.replace("\"count\": 4", "\"count\": 0"));
    assertThat(range.status()).isEqualTo(400);
    assertThat(message(range)).contains("step.count is 0");
    assertThat(call("POST", "", "{").status()).isEqualTo(400);
    assertThat(message(call("POST", "", JOB.replace("gang", "gnag")))).contains("gnag");
    assertThat(call("POST", "", "{\"queue\": \"queue-0\"}").status()).isEqualTo(400);
    assertThat(
            message(
                call(
                    "POST",
                    "",
                    "{\"queue\": \"queue-0\", \"request\": {\"steps\": [{\"count\": 1}]}}")))
        .contains("step.need is missing");
    assertThat(message(call("POST", "", "null"))).contains("job is missing");
    assertThat(message(call("POST", "", JOB.replace("queue-0", "none")))).contains("none");
    assertThat(call("GET", "?job=none", null).status()).isEqualTo(400);
    assertThat(call("GET", "?job=0000000000000001", null).status()).isEqualTo(404);
    assertThat(call("DELETE", "", null).status()).isEqualTo(405);
  }

  /** Guards against an operator who cannot find out which VM to ask. */
  @Test
  void vmThatDoesNotPlanNamesThePlanner() throws Exception {
    String planner = asked;
    asked =
        cluster.vmNames().stream().filter(name -> !name.equals(planner)).findFirst().orElseThrow();
    HttpReply reply = call("GET", "?job=0000000000000001", null);
    assertThat(reply.status()).isEqualTo(421);
    assertThat(Json.readTree(reply.body()).path("planner").asText()).isEqualTo(planner);
  }

  /** Guards against questions that take the control thread's time from the planner. */
  @Test
  void questionsInQuickSuccessionAreRefused() throws Exception {
    long[] now = {0};
    Time slow =
        new Time() {
          @Override
          public long steadyMillis() {
            return now[0] += 10;
          }

          @Override
          public long wallMillis() {
            return now[0];
          }
        };
    ExplainHandler handler =
        new ExplainHandler(() -> cluster.explainer(asked), Runnable::run, slow);
    AsyncHandler.Incoming question =
        new AsyncHandler.Incoming(
            "POST", "", ExplainHandler.PATH, "", name -> null, JOB.getBytes(UTF_8));
    assertThat(handler.handle(question).get().status()).isEqualTo(200);
    assertThat(handler.handle(question).get().status()).isEqualTo(429);
    now[0] += 100;
    assertThat(handler.handle(question).get().status()).isEqualTo(200);
  }
}
