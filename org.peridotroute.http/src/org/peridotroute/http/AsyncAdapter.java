package org.peridotroute.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.nio.charset.StandardCharsets;

/** Adapts an {@link AsyncHandler} to Undertow's handler interface. */
final class AsyncAdapter implements HttpHandler {
  private static final System.Logger LOGGER = System.getLogger(AsyncAdapter.class.getName());
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final int CONTENT_TOO_LARGE = 413;

  private final AsyncHandler handler;

  AsyncAdapter(AsyncHandler handler) {
    this.handler = handler;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) -> dispatch(received, body),
            (received, e) -> onBodyUnreadable(received, e));
  }

  private static void onBodyUnreadable(HttpServerExchange exchange, Exception cause) {
    LOGGER.log(System.Logger.Level.DEBUG, "cannot read the request body: {0}", cause.toString());
    exchange.setPersistent(false);
    exchange.setStatusCode(CONTENT_TOO_LARGE);
    exchange.endExchange();
  }

  private void dispatch(HttpServerExchange exchange, byte[] body) {
    AsyncHandler.Incoming request =
        new AsyncHandler.Incoming(
            exchange.getRequestMethod().toString(),
            exchange.getHostName() == null ? "" : exchange.getHostName(),
            exchange.getRequestPath(),
            exchange.getQueryString(),
            name -> exchange.getRequestHeaders().getFirst(name),
            body);
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handle(exchange, request));
  }

  private void handle(HttpServerExchange exchange, AsyncHandler.Incoming request) {
    var unused =
        handler
            .handle(request)
            .whenComplete(
                (reply, failure) ->
                    exchange.getIoThread().execute(() -> respond(exchange, reply, failure)));
  }

  private static void respond(
      HttpServerExchange exchange, HttpBytesReply.Outgoing reply, Throwable failure) {
    if (failure != null) {
      LOGGER.log(System.Logger.Level.ERROR, "request handler failed", failure);
      exchange.setStatusCode(INTERNAL_SERVER_ERROR);
      exchange.endExchange();
      return;
    }
    exchange.setStatusCode(reply.status());
    reply
        .headers()
        .forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
    if (!reply.body().isEmpty()) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    }
    exchange.getResponseSender().send(reply.body(), StandardCharsets.UTF_8);
  }
}
