package org.peridotroute.pgm;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.Json;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.server.EntryVm;
import org.peridotroute.server.api.ErrorBody;
import org.peridotroute.server.settings.SettingsReader;
import org.peridotroute.server.view.JobView;
import org.peridotroute.standin.Faults;
import org.peridotroute.standin.TaskRun;

/** Runs two entry VMs in process against a stand-in platform with injected faults. */
final class FailureTest {
  private static final long POLL_MILLIS = 10;
  private static final long CALL_MILLIS = 60_000;
  private static final String ORGANISATION =
      "{\"guarantees\":[{\"shape\":{\"members\":16,\"acceleratorsPerMember\":1},\"count\":1}]}";

  private final HttpClient httpClient = new HttpClient();
  private DevCluster cluster;

  @BeforeEach
  void startCluster() throws Exception {
    httpClient.start();
    cluster = DevCluster.start(0, 2);
    assertThat(call("PUT", "/v1/organisations/le-goff", ORGANISATION).status()).isEqualTo(200);
  }

  @AfterEach
  void stopCluster() {
    cluster.stop();
    httpClient.stop();
  }

  @Test
  void invalidRequestsGetTypedErrorsAndTheVmKeepsServing() throws Exception {
    String job = "/v1/organisations/le-goff/jobs/j";
    assertThat(code(call("PUT", job, "{\"shape\": "))).isEqualTo("bad_json");
    assertThat(code(call("PUT", job, "{\"colour\":1," + spec(1, "").substring(1))))
        .isEqualTo("bad_json");
    assertThat(code(call("PUT", job, "{}"))).isEqualTo("invalid_value");
    assertThat(code(call("PUT", job, "x".repeat(200_000)))).isEqualTo("body_too_large");
    assertThat(code(call("GET", "/v1/nothing", null))).isEqualTo("no_such_path");
    assertThat(code(call("GET", "/v1/watch/jobs?from=x", null))).isEqualTo("invalid_value");
    assertThat(code(call("PUT", "/v1/organisations/other/jobs/j", spec(1, ""))))
        .isEqualTo("unknown_organisation");
    assertThat(call("PUT", job, spec(1, "")).status()).isEqualTo(201);
  }

  @Test
  void vmWithoutStateRespondsNotReadyWithoutValidatingTheJob() throws Exception {
    String settings =
        """
        {"vm": {"id": "vm-9", "place": "quimper"}, "api": {"port": 0, "leaveMillis": 0},
         "peer": {"port": 0}, "platform": {"url": "http://127.0.0.1:1"}}
        """;
    EntryVm vmWithoutState = new EntryVm(SettingsReader.parse("settings", settings));
    vmWithoutState.start();
    String url = vmWithoutState.url() + "/v1/organisations/le-goff/jobs/j";
    HttpReply reply = httpClient.call("PUT", url, spec(64, ""), CALL_MILLIS).get();
    assertThat(code(reply)).isEqualTo("not_ready");
    vmWithoutState.stop();
  }

  @Test
  void guaranteesThatDoNotFitTogetherAreRefused() throws Exception {
    String excessive = ORGANISATION.replace("\"count\":1", "\"count\":4");
    assertThat(code(call("PUT", "/v1/organisations/honesty-till", excessive)))
        .isEqualTo("guarantee_does_not_fit");
    String fitting = ORGANISATION.replace("\"count\":1", "\"count\":3");
    assertThat(call("PUT", "/v1/organisations/honesty-till", fitting).status()).isEqualTo(200);
  }

  @Test
  void appendWithLostResponseIsAppliedOnce() throws Exception {
    cluster.platform().apply(Faults.ofLog(null, 3));
    String job = "/v1/organisations/le-goff/jobs/once";
    assertThat(call("PUT", job, spec(2, "echo=x")).status()).isEqualTo(201);
    awaitPhase("once", JobPhase.ENDED);
    assertThat(runs("once")).hasSize(2);
  }

  @Test
  void unresponsiveConnectionsAreReplaced() throws Exception {
    cluster.platform().apply(Faults.ofSilentCalls(2));
    String job = "/v1/organisations/le-goff/jobs/silent";
    assertThat(call("PUT", job, spec(16, "echo=x")).status()).isEqualTo(201);
    awaitPhase("silent", JobPhase.ENDED);
    JobView ended = Json.read(call("GET", job, null).body(), JobView.class);
    assertThat(ended.outcome().name()).isEqualTo("SUCCEEDED");
    assertThat(runs("silent")).hasSize(16);
  }

  @Test
  void logOutageRefusesNewJobsAsNotRunAndKeepsRunningOnes() throws Exception {
    String running = "/v1/organisations/le-goff/jobs/running";
    assertThat(call("PUT", running, spec(4, "run=2500 echo=x")).status()).isEqualTo(201);
    awaitPhase("running", JobPhase.RUNNING);
    cluster.platform().apply(Faults.ofLog(true, null));
    HttpReply refused = awaitRefusal();
    ErrorBody error = Json.read(refused.body(), ErrorBody.class);
    assertThat(error.effect()).isEqualTo("none");
    assertThat(error.repeat()).isTrue();
    cluster.platform().apply(Faults.ofLog(false, null));
    awaitPhase("running", JobPhase.ENDED);
    JobView ended = Json.read(call("GET", running, null).body(), JobView.class);
    assertThat(ended.outcome().name()).isEqualTo("SUCCEEDED");
    assertThat(ended.attempts()).isEqualTo(1);
    assertThat(runs("running")).hasSize(4);
  }

  @Test
  void plannedStopLeavesNoRequestUnanswered() throws Exception {
    for (CompletableFuture<HttpReply> warmUp : putJobs("warm")) {
      assertThat(warmUp.get().status()).isEqualTo(201);
    }
    List<CompletableFuture<HttpReply>> replies = putJobs("stop");
    cluster.vm(0).stop();
    for (CompletableFuture<HttpReply> reply : replies) {
      assertThat(reply.get().status()).isAnyOf(201, 503);
    }
  }

  private List<CompletableFuture<HttpReply>> putJobs(String name) {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      String path = "/v1/organisations/le-goff/jobs/" + name + "-" + i;
      replies.add(httpClient.call("PUT", cluster.url(0) + path, spec(1, ""), CALL_MILLIS));
    }
    return replies;
  }

  @Test
  void workerThatFailsEveryTaskDoesNotFailTheJob() throws Exception {
    String probe = "/v1/organisations/le-goff/jobs/probe";
    assertThat(call("PUT", probe, spec(1, "run=60000")).status()).isEqualTo(201);
    awaitPhase("probe", JobPhase.RUNNING);
    JobView running = Json.read(call("GET", probe, null).body(), JobView.class);
    WorkerId nextWorker = running.members().get(0).worker();
    cluster.platform().worker(nextWorker).setFailingAll(true);
    String job = "/v1/organisations/le-goff/jobs/moved";
    assertThat(call("PUT", job, spec(1, "echo=x")).status()).isEqualTo(201);
    awaitPhase("moved", JobPhase.ENDED);
    JobView ended = Json.read(call("GET", job, null).body(), JobView.class);
    assertThat(ended.outcome().name()).isEqualTo("SUCCEEDED");
    assertThat(ended.attempts()).isAtLeast(2);
  }

  private HttpReply awaitRefusal() throws Exception {
    for (int i = 0; ; i++) {
      HttpReply reply = call("PUT", "/v1/organisations/le-goff/jobs/new-" + i, spec(1, ""));
      if (code(reply).equals("log_unavailable")) {
        return reply;
      }
    }
  }

  private List<TaskRun> runs(String job) {
    List<TaskRun> runs = new ArrayList<>();
    for (int rack = 1; rack <= 2; rack++) {
      for (int worker = 1; worker <= 4; worker++) {
        WorkerId id = new WorkerId("w-%d-%d".formatted(rack, worker));
        runs.addAll(cluster.platform().worker(id).runs());
      }
    }
    return runs.stream().filter(run -> run.job().name().value().equals(job)).toList();
  }

  private void awaitPhase(String name, JobPhase phase) throws InterruptedException {
    JobKey key = JobKey.of("le-goff", name);
    while (cluster.vm(0).dump().jobs().stream()
        .noneMatch(job -> job.key().equals(key) && job.phase() == phase)) {
      Thread.sleep(POLL_MILLIS);
    }
  }

  private HttpReply call(String method, String path, String body) throws Exception {
    return httpClient.call(method, cluster.url(0) + path, body, CALL_MILLIS).get();
  }

  private static String code(HttpReply reply) throws Exception {
    return Json.readTree(reply.body()).path("code").asText();
  }

  private static String spec(int members, String payload) {
    return "{\"shape\":{\"members\":%d,\"acceleratorsPerMember\":1},\"idempotent\":true,\"payload\":\"%s\"}"
        .formatted(members, payload);
  }
}
