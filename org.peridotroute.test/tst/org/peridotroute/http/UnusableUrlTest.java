package org.peridotroute.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a URL from outside that ends the thread which makes the call. */
final class UnusableUrlTest {
  private static final long TIMEOUT_MILLIS = 2_000;

  @ParameterizedTest
  @ValueSource(
      strings = {
        "http://127.0.0.1:9001,127.0.0.1:9002/x",
        "http://-/x",
        "http:///run/relay.sock/x",
        "http://relay_3:25/x",
        "http://127.0.0.1:99999/x",
        "http:///x",
        "http://127.0.0.1:80/a b"
      })
  void failsTheFutureAsIfTheConnectionWereRefused(String url) {
    HttpClient client = new HttpClient();
    client.start();
    try {
      var reply =
          client.call(new HttpCall("GET", url, Map.of(), "text/plain", null, TIMEOUT_MILLIS));
      CompletionException failure = assertThrows(CompletionException.class, reply::join);
      assertThat(failure).hasCauseThat().isInstanceOf(ConnectException.class);
    } finally {
      client.stop();
    }
  }
}
