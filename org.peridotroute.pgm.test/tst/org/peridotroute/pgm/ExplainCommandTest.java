package org.peridotroute.pgm;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.peridotroute.http.HttpBytesReply.Outgoing;
import org.peridotroute.http.HttpServer;
import org.peridotroute.http.Json;
import org.peridotroute.server.edge.ExplanationView;
import org.peridotroute.server.edge.ExplanationView.RackView;
import org.peridotroute.server.edge.ExplanationView.StepView;
import org.peridotroute.server.edge.ExplanationView.StopView;

/** Runs peridotctl explain against a server with prepared answers. */
final class ExplainCommandTest {
  private static final String ID = "000000000000002a";
  private static final ExplanationView WAITING =
      new ExplanationView(
          ID,
          "le-goff",
          "batch",
          "PENDING",
          List.of(
              new StepView(
                  ID + ".0.0",
                  "WAITS",
                  1,
                  false,
                  "LATE",
                  1_200,
                  13,
                  true,
                  2,
                  5,
                  List.of("0000000000000001.0.0", "0000000000000002.0.0"),
                  Map.of(),
                  Map.of(),
                  List.of(),
                  List.of(new RackView("rack-1", 40, 0, 1, 9, 11, 200, 13, 3_400)),
                  3_400,
                  true,
                  false)),
          "edge-1",
          17,
          4,
          120,
          List.of("dc-2"),
          false,
          0,
          Map.of("rack-2", 3));

  @TempDir Path folder;
  private final List<String> requests = new ArrayList<>();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private Outgoing answer = new Outgoing(200, Map.of(), Json.write(WAITING));
  private HttpServer server;

  @BeforeEach
  void start() {
    server =
        HttpServer.newBuilder("127.0.0.1", 0)
            .setAsyncHandler(
                request -> {
                  requests.add(
                      request.method()
                          + " "
                          + request.path()
                          + " "
                          + request.query()
                          + " "
                          + new String(request.body(), StandardCharsets.UTF_8));
                  return CompletableFuture.completedFuture(answer);
                })
            .build();
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop(0);
  }

  private int explain(String... arguments) {
    out.reset();
    err.reset();
    List<String> all = new ArrayList<>(List.of("explain", "--url", server.url()));
    all.addAll(List.of(arguments));
    return PeridotctlMain.run(
        new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8)),
        all.toArray(new String[0]));
  }

  /** Guards against a text that leaves out the reason or the place where capacity is missing. */
  @Test
  void printsText() {
    assertThat(explain(ID)).isEqualTo(ExitCode.OK);
    assertThat(requests).containsExactly("GET /explain job=" + ID + " ");
    assertThat(out.toString(StandardCharsets.UTF_8))
        .isEqualTo(
            """
            job 000000000000002a  queue batch  organisation le-goff  PENDING
            planner edge-1  epoch 17  configuration 4  view age 120 ms
            closed for new work: dc-2
            rack rack-2: 3 workers accept no new work

            step 000000000000002a.0.0: waits, 13 tasks that start together
              place 3 of 5; priority 1, not guaranteed, usefulness LATE, waited 1200 ms
              after 0000000000000001.0.0, 0000000000000002.0.0
              the capacity is kept for urgent work
              expected wait for all tasks: 3400 ms
              rack rack-1: fitting 9 now, 11 after stops, 200 when empty, of 13; \
            40 workers, 1 excluded, 0 without the label; wait 3400 ms
            """);
  }

  /** Guards against a text that does not say what would be stopped, and for what. */
  @Test
  void printsStopsAndClaims() {
    StepView waiting = WAITING.steps().get(0);
    StepView stopping =
        new StepView(
            waiting.step(),
            "STOPS_RUNS",
            0,
            true,
            "ON_TIME",
            0,
            2,
            true,
            0,
            1,
            List.of(),
            Map.of(),
            Map.of("w-3", 2),
            List.of(new StopView("0000000000000007.0.0.1", 4, "w-3", true)),
            List.of(),
            ExplanationView.NO_END_IN_SIGHT,
            false,
            false);
    answer =
        new Outgoing(
            200,
            Map.of(),
            Json.write(
                new ExplanationView(
                    ID,
                    "",
                    "urgent",
                    "PENDING",
                    List.of(stopping),
                    "v",
                    1,
                    1,
                    0,
                    List.of(),
                    true,
                    1,
                    Map.of())));
    assertThat(explain(ID)).isEqualTo(ExitCode.OK);
    String text = out.toString(StandardCharsets.UTF_8);
    assertThat(text).contains("would stop 1 runs and claim their capacity");
    assertThat(text).contains("stops run 4 of 0000000000000007.0.0.1 on w-3 with its gang");
    assertThat(text).contains("claims 2 on w-3");
    assertThat(text).contains("starts are withheld");
    assertThat(text).contains("no end in sight");
    assertThat(text).contains("1 more steps wait");
  }

  /** Guards against JSON that other programs cannot read back. */
  @Test
  void printsJson() throws Exception {
    assertThat(explain(ID, "--output", "json")).isEqualTo(ExitCode.OK);
    assertThat(Json.read(out.toString(StandardCharsets.UTF_8), ExplanationView.class))
        .isEqualTo(WAITING);
  }

  /** Guards against a job file that is changed on its way. */
  @Test
  void sendsTheFile() throws Exception {
    Path file = Files.writeString(folder.resolve("job.json"), "{\"queue\": \"batch\"}");
    assertThat(explain("-f", file.toString())).isEqualTo(ExitCode.OK);
    assertThat(requests).containsExactly("POST /explain  {\"queue\": \"batch\"}");
  }

  /** Guards against an answer of a VM that does not plan that looks like an explanation. */
  @Test
  void refusalIsPrintedAndFails() {
    answer = new Outgoing(421, Map.of(), "{\"message\":\"this VM does not plan; ask edge-2\"}");
    assertThat(explain(ID)).isEqualTo(ExitCode.REFUSED);
    assertThat(err.toString(StandardCharsets.UTF_8))
        .isEqualTo("this VM does not plan; ask edge-2\n");
    assertThat(out.toString(StandardCharsets.UTF_8)).isEmpty();
  }

  /** Guards against a command line at fault that sends a request. */
  @Test
  void invalidCommandLinesSendNothing() {
    assertThat(explain()).isEqualTo(ExitCode.USAGE);
    assertThat(explain("none")).isEqualTo(ExitCode.USAGE);
    assertThat(explain(ID, "-f", "job.json")).isEqualTo(ExitCode.USAGE);
    assertThat(explain("-f", folder.resolve("missing").toString())).isEqualTo(ExitCode.USAGE);
    assertThat(explain(ID, "--output", "yaml")).isEqualTo(ExitCode.USAGE);
    assertThat(requests).isEmpty();
  }
}
