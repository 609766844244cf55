package org.peridotroute.http;

import java.util.concurrent.CompletableFuture;

/** Handles requests without blocking. Called on the server's I/O thread. */
@FunctionalInterface
public interface AsyncHandler {
  /**
   * A request with its complete body. The body array is shared and must not be modified.
   *
   * @param method the HTTP method
   * @param host host that the client addressed, without the port; empty if absent
   * @param path the request path, not decoded
   * @param query the query string, not decoded; empty if there is none
   * @param headers returns the first value of a header by name, or null if the header is absent
   * @param body the request body, empty if there is none
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Incoming(
      String method,
      String host,
      String path,
      String query,
      java.util.function.UnaryOperator<String> headers,
      byte[] body) {}

  /**
   * Handles a request.
   *
   * @param request the request
   * @return a future of the response, which may complete on any thread; if it fails, the server
   *     responds with status 500
   */
  CompletableFuture<HttpBytesReply.Outgoing> handle(Incoming request);
}
