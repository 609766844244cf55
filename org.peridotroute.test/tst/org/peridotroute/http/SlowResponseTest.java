package org.peridotroute.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Guards against giving up a long response that a slow link delivers for longer than the timeout: a
 * large configuration was read again and again and never applied.
 */
final class SlowResponseTest {
  private static final int PARTS = 26;
  private static final long PART_INTERVAL_MILLIS = 100;
  private static final long TIMEOUT_MILLIS = 2_000;

  private static void sendInParts(Socket socket) throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    out.write(
        ("HTTP/1.1 200 OK\r\nContent-Length: " + PARTS + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    for (int i = 0; i < PARTS; i++) {
      out.write('x');
      out.flush();
      Thread.sleep(PART_INTERVAL_MILLIS);
    }
  }

  @Test
  void readsAResponseThatTakesLongerThanTheTimeout() throws Exception {
    HttpClient client = new HttpClient();
    client.start();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Void> served =
          CompletableFuture.runAsync(
              () -> {
                try (Socket socket = server.accept()) {
                  sendInParts(socket);
                } catch (IOException e) {
                  throw new java.io.UncheckedIOException(e);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      HttpBytesReply reply =
          client
              .call(
                  new HttpCall(
                      "GET",
                      "http://127.0.0.1:" + server.getLocalPort() + "/",
                      Map.of(),
                      "text/plain",
                      null,
                      TIMEOUT_MILLIS))
              .join();
      assertThat(reply.body()).hasLength(PARTS);
      served.join();
    } finally {
      client.stop();
    }
  }
}
