package org.peridotroute.server.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.Json;
import org.peridotroute.lib.Directory;
import org.peridotroute.platform.DirectoryClient;
import org.peridotroute.platform.DirectoryReply;

/** Reads the platform's directory of VMs and workers over HTTP. Thread-safe. */
public final class HttpDirectoryClient implements DirectoryClient {
  private final HttpClient caller;
  private final String url;
  private final long timeoutMillis;
  private volatile DirectoryReply lastReply = new DirectoryReply(0, Directory.EMPTY);

  /**
   * Creates a client.
   *
   * @param caller the HTTP client
   * @param url the platform's URL
   * @param timeoutMillis timeout of a call
   */
  public HttpDirectoryClient(HttpClient caller, String url, long timeoutMillis) {
    this.caller = caller;
    this.url = url;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public CompletableFuture<Directory> read() {
    return caller
        .call("GET", url + "/v1/directory?version=" + lastReply.version(), null, timeoutMillis)
        .thenApply(this::parse);
  }

  /** Parses a reply, which has no directory if the requested version is still the newest. */
  private Directory parse(HttpReply reply) {
    if (!reply.isOk()) {
      throw new CompletionException(
          new IOException("directory request failed with status " + reply.status()));
    }
    try {
      DirectoryReply directoryReply = Json.read(reply.body(), DirectoryReply.class);
      if (directoryReply.directory() != null) {
        lastReply = directoryReply;
      }
      return lastReply.directory();
    } catch (JsonProcessingException e) {
      throw new CompletionException(e);
    }
  }
}
