package org.peridotroute.server.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.peridotroute.http.HttpCaller;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.Json;
import org.peridotroute.lib.Directory;
import org.peridotroute.platform.DirectoryClient;

/** The platform's list of machines over HTTP. Safe for use by several threads. */
public final class HttpDirectoryClient implements DirectoryClient {
  private final HttpCaller caller;
  private final String url;
  private final long timeoutMillis;

  /**
   * Creates a client.
   *
   * @param caller the HTTP client
   * @param url the platform's URL
   * @param timeoutMillis the longest wait for an answer
   */
  public HttpDirectoryClient(HttpCaller caller, String url, long timeoutMillis) {
    this.caller = caller;
    this.url = url;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public CompletableFuture<Directory> read() {
    return caller
        .call("GET", url + "/v1/directory", null, timeoutMillis)
        .thenApply(HttpDirectoryClient::parse);
  }

  private static Directory parse(HttpReply reply) {
    if (!reply.isOk()) {
      throw new CompletionException(new IOException("status " + reply.status()));
    }
    try {
      return Json.read(reply.body(), Directory.class);
    } catch (JsonProcessingException e) {
      throw new CompletionException(e);
    }
  }
}
