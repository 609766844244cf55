package org.peridotroute.server.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.peridotroute.errors.LogUnavailableException;
import org.peridotroute.errors.RecordsExpiredException;
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.Json;
import org.peridotroute.platform.AppendReply;
import org.peridotroute.platform.AppendRequest;
import org.peridotroute.platform.ExpiredReply;
import org.peridotroute.platform.LogClient;
import org.peridotroute.platform.LogPage;

/** Client of the platform's log over HTTP. Thread-safe. */
public final class HttpLogClient implements LogClient {
  private final HttpClient caller;
  private final String url;
  private final long timeoutMillis;

  /**
   * Creates a client.
   *
   * @param caller the HTTP client
   * @param url the platform's URL
   * @param timeoutMillis timeout of a call, added to the wait that a read requests
   */
  public HttpLogClient(HttpClient caller, String url, long timeoutMillis) {
    this.caller = caller;
    this.url = url;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public CompletableFuture<Long> append(String stream, List<String> records) {
    String body = Json.write(new AppendRequest(records));
    return caller
        .call("POST", recordsUrl(stream), body, timeoutMillis)
        .handle((reply, failure) -> parse(reply, failure, AppendReply.class).firstOffset());
  }

  @Override
  public CompletableFuture<LogPage> read(
      String stream, long fromOffset, int maxRecords, long waitMillis) {
    String query = "?from=%d&max=%d&waitMillis=%d".formatted(fromOffset, maxRecords, waitMillis);
    return caller
        .call("GET", recordsUrl(stream) + query, null, waitMillis + timeoutMillis)
        .handle(
            (reply, failure) -> {
              if (failure == null && reply.status() == HttpReply.GONE) {
                long earliestOffset = parse(reply.body(), ExpiredReply.class).earliestOffset();
                throw new RecordsExpiredException(stream, fromOffset, earliestOffset);
              }
              return parse(reply, failure, LogPage.class);
            });
  }

  private String recordsUrl(String stream) {
    return url + "/v1/streams/" + stream + "/records";
  }

  private <T> T parse(HttpReply reply, Throwable failure, Class<T> type) {
    if (failure != null) {
      throw new CompletionException(new LogUnavailableException(url, failure.getMessage()));
    }
    if (!reply.isOk()) {
      throw new LogUnavailableException(url, "status " + reply.status());
    }
    return parse(reply.body(), type);
  }

  private <T> T parse(String body, Class<T> type) {
    try {
      return Json.read(body, type);
    } catch (JsonProcessingException e) {
      throw new LogUnavailableException(url, e.getOriginalMessage());
    }
  }
}
