package org.peridotroute.adapter;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.WorkerInfo;

/**
 * Tests the decoding of configuration and worker records. Anyone may write to the store, so an
 * unreadable record must yield an empty result and no exception.
 */
final class StoreRecordDecoderTest {
  private static final StoreRecordDecoder DECODER = new StoreRecordDecoder();

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void decodesConfiguration() {
    Configuration configuration =
        DECODER
            .decodeConfiguration(
                bytes(
                    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":"
                        + "\"/a/\",\"slo_ms\":400,\"priority\":0,\"service\":\"s\","
                        + "\"max_attempts\":4,\"stretch\":1.5,\"public\":false},"
                        + "{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/a/b/\","
                        + "\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}],\"tenants\":["
                        + "{\"name\":\"t\",\"api_keys\":[\"k\"],\"guaranteed\":{\"gpu\":48}}]}"))
            .orElseThrow();
    assertThat(configuration.version()).isEqualTo(7);
    assertThat(configuration.queue("h", "/a/b/x").orElseThrow().name()).isEqualTo("q");
    assertThat(configuration.queue("h", "/a/x").orElseThrow().maxAttempts()).isEqualTo(4);
    assertThat(configuration.queue("other", "/a/x")).isEmpty();
    assertThat(configuration.organisationByKey("k").orElseThrow().name()).isEqualTo("t");
    assertThat(configuration.guaranteedAccelerators("t")).isEqualTo(48);
  }

  @Test
  void decodesWorker() {
    Optional<WorkerInfo> worker =
        DECODER.decodeWorker(
            "i-7f3a91c2",
            bytes(
                "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":"
                    + "\"draining\",\"remaining_ms\":900,\"labels\":[\"a\",\"r1-3\"],"
                    + "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":8},\"born\":5}"));
    assertThat(worker.orElseThrow().rack()).isEqualTo("r1-3");
    assertThat(worker.orElseThrow().draining()).isTrue();
    assertThat(worker.orElseThrow().startedAtMillis()).isEqualTo(5);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "\u0000\u0001",
        "{}",
        "[]",
        "{\"service\":3,\"address\":\"x\",\"zone\":\"z\",\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"x\",\"zone\":\"z\",\"state\":\"asleep\","
            + "\"labels\":[\"a\",\"r\"],\"capacity\":{}}",
        "{\"service\":\"s\",\"address\":\"x\",\"zone\":\"z\",\"state\":\"ready\","
            + "\"labels\":[\"a\"],\"capacity\":{}}",
        "{\"service\":\"s\",\"address\":\"x\",\"zone\":\"z\",\"state\":\"ready\","
            + "\"labels\":[\"a\",\"r\"],\"capacity\":{\"cpu\":\"many\"}}"
      })
  void returnsEmptyForUnreadableRecord(String json) {
    assertThat(DECODER.decodeWorker("i-1", bytes(json))).isEmpty();
    assertThat(DECODER.decodeConfiguration(bytes(json))).isEmpty();
  }

  // A planner ended whenever it started, since it called an address that no URL can hold.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "127.0.0.1:9001,127.0.0.1:9002",
        "-",
        "",
        "/run/relay.sock",
        "relay_3:25",
        "relay.example:25",
        "127.0.0.1",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999",
        "127.0.0.1:-1",
        "256.0.0.1:80",
        "10.0.0.1:80/path",
        "user@10.0.0.1:80"
      })
  void returnsEmptyForAddressThatCannotBeCalled(String address) {
    assertThat(
            DECODER.decodeWorker(
                "i-1",
                bytes(
                    "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"state\":\"ready\","
                            .formatted(address)
                        + "\"labels\":[\"a\",\"r\"],\"capacity\":{}}")))
        .isEmpty();
  }

  @Test
  void returnsEmptyForInvalidWorkerId() {
    assertThat(
            DECODER.decodeWorker(
                "Not An Id",
                bytes(
                    "{\"service\":\"s\",\"address\":\"x\",\"zone\":\"z\",\"state\":\"ready\","
                        + "\"labels\":[\"a\",\"r\"],\"capacity\":{}}")))
        .isEmpty();
  }
}
