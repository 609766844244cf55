package org.peridotroute.bench;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Calls entry VMs as their callers do, over connections that it keeps open. Thread-safe. */
public final class CallerClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  /**
   * A response.
   *
   * @param status its status, 0 if there was no response
   * @param body its body
   */
  public record Answer(int status, String body) {}

  /**
   * Sends a request.
   *
   * @param vm the VM
   * @param method the HTTP method
   * @param path the path
   * @param body the body, empty for none
   */
  public Answer send(EdgeProcess vm, String method, String path, String body)
      throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + vm.callerPort() + path))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, "");
    }
  }
}
