package org.peridotroute.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import java.util.concurrent.ExecutionException;
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.Json;
import org.peridotroute.server.api.ErrorBody;

/** Calls the resource API for a command. Opened with a URL, closed once; used by one thread. */
final class ApiClient implements AutoCloseable {
  private static final long TIMEOUT_MILLIS = 40_000;

  private final HttpClient caller = new HttpClient();
  private final String url;

  private ApiClient(String url) {
    this.url = url;
    caller.start();
  }

  static ApiClient open(String url) {
    String whole = url.startsWith("http://") ? url : "http://" + url;
    return new ApiClient(whole.endsWith("/") ? whole.substring(0, whole.length() - 1) : whole);
  }

  @Override
  public void close() {
    caller.stop();
  }

  /** Makes a call whose answer is read as a type; an answer of failure becomes an exception. */
  <T> T call(String method, String path, String body, TypeReference<T> type)
      throws CommandException {
    HttpReply reply = reply(method, path, body);
    if (!reply.isOk()) {
      throw new CommandException(ExitCode.REFUSED, describe(reply));
    }
    return read(reply.body(), type);
  }

  /** Makes a call whose answer may be of failure. */
  HttpReply reply(String method, String path, String body) throws CommandException {
    try {
      return caller.call(method, url + path, body, TIMEOUT_MILLIS).get();
    } catch (ExecutionException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, url + " did not answer: " + e.getCause().getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitCode.UNREACHABLE, "interrupted");
    }
  }

  static <T> T read(String body, TypeReference<T> type) throws CommandException {
    try {
      return Json.mapper().readValue(body, type);
    } catch (JsonProcessingException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, "the answer is not understood: " + e.getOriginalMessage());
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
