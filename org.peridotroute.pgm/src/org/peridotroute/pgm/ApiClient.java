package org.peridotroute.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import java.util.concurrent.ExecutionException;
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.Json;
import org.peridotroute.server.api.ErrorBody;

/** Client of the resource API. Opened with a URL and closed once. Not thread-safe. */
final class ApiClient implements AutoCloseable {
  private static final long TIMEOUT_MILLIS = 40_000;

  private final HttpClient httpClient = new HttpClient();
  private final String url;

  private ApiClient(String url) {
    this.url = url;
    httpClient.start();
  }

  /** Opens a client. The scheme {@code http://} is added to the URL if it is missing. */
  static ApiClient open(String url) {
    String absoluteUrl = url.startsWith("http://") ? url : "http://" + url;
    return new ApiClient(
        absoluteUrl.endsWith("/")
            ? absoluteUrl.substring(0, absoluteUrl.length() - 1)
            : absoluteUrl);
  }

  @Override
  public void close() {
    httpClient.stop();
  }

  /** Sends a request and parses the response. An error response becomes an exception. */
  <T> T call(String method, String path, String body, TypeReference<T> type)
      throws CommandException {
    HttpReply reply = send(method, path, body);
    if (!reply.isOk()) {
      throw new CommandException(ExitCode.REFUSED, describe(reply));
    }
    return parse(reply.body(), type);
  }

  /** Sends a request and returns the response, which may be an error response. */
  HttpReply send(String method, String path, String body) throws CommandException {
    try {
      return httpClient.call(method, url + path, body, TIMEOUT_MILLIS).get();
    } catch (ExecutionException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, "request to " + url + " failed: " + e.getCause().getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitCode.UNREACHABLE, "interrupted");
    }
  }

  static <T> T parse(String body, TypeReference<T> type) throws CommandException {
    try {
      return Json.mapper().readValue(body, type);
    } catch (JsonProcessingException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, "cannot parse the response: " + e.getOriginalMessage());
    }
  }

  static String describe(HttpReply reply) {
    try {
      ErrorBody error = Json.read(reply.body(), ErrorBody.class);
      return "refused (%s): %s; effect: %s"
          .formatted(error.code().text(), error.message(), error.effect());
    } catch (JsonProcessingException e) {
      return "refused with status " + reply.status();
    }
  }
}
