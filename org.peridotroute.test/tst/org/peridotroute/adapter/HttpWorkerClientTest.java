package org.peridotroute.adapter;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.peridotroute.http.HttpBytesReply;
import org.peridotroute.scheduler.port.WorkerGateway.EndedTask;
import org.peridotroute.scheduler.port.WorkerGateway.PollReply;

/**
 * Guards against taking a run for ended because a list that may leave runs out does not name it,
 * and against replies that no worker sends.
 */
final class HttpWorkerClientTest {
  private static PollReply parse(String running, String ended) {
    String body =
        "{\"clock_ms\":9,\"born\":5,\"running\":[%s],\"ended\":[%s]}".formatted(running, ended);
    return HttpWorkerClient.parsePollReply(
        new HttpBytesReply(200, body.getBytes(StandardCharsets.UTF_8)));
  }

  private static String ends(int count) {
    return IntStream.rangeClosed(1, count)
        .mapToObj("[%1$d,\"00000000000000c1.0.0.%1$d\",1,\"done\",\"\"]"::formatted)
        .collect(Collectors.joining(","));
  }

  @Test
  void listsOfFewEndsAreComplete() {
    assertThat(parse("", "").complete()).isTrue();
    assertThat(parse("", ends(499)).complete()).isTrue();
  }

  // A worker lists 500 ends at a time.
  @Test
  void aFullListOfEndsMayLeaveOthersOut() {
    PollReply reply = parse("", ends(500));
    assertThat(reply.complete()).isFalse();
    assertThat(reply.ended()).hasSize(500);
  }

  @Test
  void aListWithAnUnreadableRowDoesNotNameEveryRun() {
    assertThat(parse("[7,1,\"\",3]", "").complete()).isFalse();
    assertThat(parse("", "[1,\"no task\",1,\"done\",\"\"]").complete()).isFalse();
  }

  // The planner skips ends up to the greatest number that it has seen.
  @Test
  void ordersEndsByNumber() {
    PollReply reply =
        parse(
            "",
            "[2,\"00000000000000c1.0.0.2\",1,\"done\",\"\"],"
                + "[1,\"00000000000000c1.0.0.1\",1,\"done\",\"\"]");
    assertThat(reply.ended().stream().map(EndedTask::number)).containsExactly(1L, 2L).inOrder();
  }
}
