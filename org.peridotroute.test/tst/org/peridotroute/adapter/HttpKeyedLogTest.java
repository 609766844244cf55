package org.peridotroute.adapter;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotroute.http.AsyncHandler;
import org.peridotroute.http.HttpBytesReply.Outgoing;
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpServer;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedLog.AppendOutcome;
import org.peridotroute.scheduler.port.KeyedLog.Fence;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Topic;

/** Tests the store's client over real sockets, against a server with preset responses. */
final class HttpKeyedLogTest {
  private final HttpClient httpClient = new HttpClient();
  private final AtomicReference<Outgoing> response = new AtomicReference<>();
  private final AtomicReference<AsyncHandler.Incoming> lastRequest = new AtomicReference<>();
  private HttpServer server;
  private HttpKeyedLog log;

  @BeforeEach
  void start() {
    server =
        HttpServer.newBuilder("127.0.0.1", 0)
            .setAsyncHandler(
                request -> {
                  lastRequest.set(request);
                  return CompletableFuture.completedFuture(response.get());
                })
            .build();
    server.start();
    httpClient.start();
    log = new HttpKeyedLog(httpClient, "127.0.0.1:" + server.port());
  }

  @AfterEach
  void stop() {
    httpClient.stop();
    server.stop(0);
  }

  private AppendOutcome append(int status, String body) {
    response.set(new Outgoing(status, Map.of(), body));
    return log.append(
            Topic.PROGRESS,
            List.of(KeyedRecord.of("k", "value".getBytes(StandardCharsets.UTF_8))),
            4,
            new Fence("planner", 9, 2))
        .join()
        .outcome();
  }

  @Test
  void mapsStatusAndBodyToAppendOutcome() {
    assertThat(append(200, "{\"offset\":4,\"end\":5}")).isEqualTo(AppendOutcome.APPENDED);
    assertThat(append(412, "{\"end\":7}")).isEqualTo(AppendOutcome.CONFLICT);
    assertThat(append(409, "{\"reason\":\"fenced\"}")).isEqualTo(AppendOutcome.FENCED);
    assertThat(append(409, "{\"reason\":\"seq\"}")).isEqualTo(AppendOutcome.OUT_OF_SEQUENCE);
    assertThat(append(503, "")).isEqualTo(AppendOutcome.REFUSED);
    assertThat(append(429, "")).isEqualTo(AppendOutcome.REFUSED);
    assertThat(append(500, "")).isEqualTo(AppendOutcome.UNKNOWN);
    assertThat(append(200, "cut sho")).isEqualTo(AppendOutcome.UNKNOWN);
  }

  // A key with a space at the end of a page kept the rest of the topic from being read.
  @Test
  void readsThePageAfterAnyKey() {
    response.set(new Outgoing(200, Map.of(), "{\"items\":[],\"has_more\":false,\"end\":3}"));
    for (String key : List.of("relay 1", "a&part=1", "\u00fcber", "50%", "a\"b", "line\nbreak")) {
      assertThat(log.newest(Topic.WORKERS, key).join().available()).isTrue();
    }
  }

  @Test
  void encodesKeyedRecord() {
    append(200, "{\"offset\":4,\"end\":5}");
    assertThat(lastRequest.get().body())
        .isEqualTo("\0\0\0\7\1kvalue".getBytes(StandardCharsets.ISO_8859_1));
  }

  @Test
  void reportsRefusedConnectionAsRefused() {
    server.stop(0);
    assertThat(
            log.append(Topic.REQUESTS, List.of(KeyedRecord.of("k", new byte[1])), -1, null)
                .join()
                .outcome())
        .isEqualTo(AppendOutcome.REFUSED);
  }

  @Test
  void reportsExpiredRecords() {
    response.set(new Outgoing(410, Map.of(), "{\"first\":9}"));
    assertThat(log.read(Topic.WORKERS, 3, 0).join().outcome())
        .isEqualTo(KeyedLog.ReadOutcome.EXPIRED);
  }

  @Test
  void parsesPageOfNewestRecords() {
    response.set(
        new Outgoing(
            200,
            Map.of(),
            "{\"items\":[{\"key\":\"config\",\"value\":\"e30=\",\"offset\":4}],"
                + "\"has_more\":false,\"end\":6}"));
    KeyedLog.NewestPage page = log.newest(Topic.CONFIGURATION, null).join();
    assertThat(page.available()).isTrue();
    assertThat(page.endOffset()).isEqualTo(6);
    assertThat(page.records().get(0).key()).isEqualTo("config");
  }

  private static final String END_AND_FIRST = "\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0\0";

  private KeyedLog.ReadReply read(String records) {
    response.set(new Outgoing(200, Map.of(), END_AND_FIRST + records));
    return log.read(Topic.PROGRESS, 5, 0).join();
  }

  @Test
  void treatsReplyWithCutRecordAsUnavailable() {
    assertThat(read("\0\0\0\7\1kval").outcome()).isEqualTo(KeyedLog.ReadOutcome.UNAVAILABLE);
    assertThat(read("\0\0").outcome()).isEqualTo(KeyedLog.ReadOutcome.UNAVAILABLE);
  }

  @Test
  void skipsMalformedRecord() {
    KeyedLog.ReadReply reply = read("\0\0\0\2\7k\0\0\0\0\0\0\0\3\1kv");
    assertThat(reply.outcome()).isEqualTo(KeyedLog.ReadOutcome.READ);
    assertThat(reply.records().stream().map(KeyedRecord::key).toList())
        .containsExactly("", "", "k")
        .inOrder();
    assertThat(reply.records().get(2).offset()).isEqualTo(7);
  }

  @Test
  void readsPageWithAnUnreadableItem() {
    response.set(
        new Outgoing(
            200,
            Map.of(),
            "{\"items\":[{\"key\":\"a\",\"offset\":4},{\"key\":\"b\",\"value\":\"?\",\"offset\":5},"
                + "{\"key\":\"c\",\"value\":\"e30=\",\"offset\":6}],\"end\":7}"));
    KeyedLog.NewestPage page = log.newest(Topic.WORKERS, null).join();
    assertThat(page.available()).isTrue();
    assertThat(page.records().get(0).value()).isNull();
    assertThat(page.records().get(1).value()).isNull();
    assertThat(page.records().get(2).value()).isNotNull();
  }
}
