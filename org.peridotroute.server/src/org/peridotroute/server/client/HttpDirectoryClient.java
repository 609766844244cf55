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
import org.peridotroute.platform.DirectoryReply;

/** The platform's list of machines over HTTP. Safe for use by several threads. */
public final class HttpDirectoryClient implements DirectoryClient {
  private final HttpCaller caller;
  private final String url;
  private final long timeoutMillis;
  private volatile DirectoryReply last = new DirectoryReply(0, Directory.EMPTY);

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
        .call("GET", url + "/v1/directory?version=" + last.version(), null, timeoutMillis)
        .thenApply(this::parse);
  }

  private Directory parse(HttpReply reply) {
    if (!reply.isOk()) {
      throw new CompletionException(new IOException("status " + reply.status()));
    }
    try {
      DirectoryReply answer = Json.read(reply.body(), DirectoryReply.class);
      if (answer.directory() != null) {
        last = answer;
      }
      return last.directory();
    } catch (JsonProcessingException e) {
      throw new CompletionException(e);
    }
  }
}
