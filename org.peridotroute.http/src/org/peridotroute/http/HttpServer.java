package org.peridotroute.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.server.handlers.GracefulShutdownHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.Options;

/**
 * An HTTP server with JSON bodies. Created with {@link #newBuilder}, then started once and stopped
 * once. A stop waits for requests in flight.
 */
public final class HttpServer {
  private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
  private static final int MAX_REQUEST_ID_CHARS = 64;

  /** How long the server still refuses requests after the drain, before it closes the port. */
  private static final long REFUSE_MILLIS = 250;

  private static final int IO_THREADS = 1;
  private static final int IDLE_MILLIS = 60_000;

  private final String host;
  private final Undertow server;
  private final GracefulShutdownHandler graceful;

  private HttpServer(Builder builder) {
    host = builder.host;
    HttpHandler root =
        builder.asyncHandler == null
            ? new BlockingHandler(builder.routes)
            : new AsyncAdapter(builder.asyncHandler);
    graceful = new GracefulShutdownHandler(root);
    server =
        Undertow.builder()
            .addHttpListener(builder.port, builder.host)
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(builder.workerThreads)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, builder.maxBodyBytes)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MILLIS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, IDLE_MILLIS)
            .setSocketOption(Options.REUSE_ADDRESSES, true)
            .setHandler(graceful)
            .build();
  }

  /**
   * Creates a builder.
   *
   * @param host the address to listen on
   * @param port the port, or 0 for any free port
   * @return the builder
   */
  public static Builder newBuilder(String host, int port) {
    return new Builder(host, port);
  }

  /** Starts listening. Throws a {@link RuntimeException} if the address is in use. */
  public void start() {
    server.start();
  }

  /** Returns the port that the server listens on. Valid once started. */
  public int port() {
    return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
  }

  /** Returns the server's base URL. Valid once started. */
  public String url() {
    return "http://" + host + ":" + port();
  }

  /**
   * Refuses new requests, waits for those in flight, then stops. Requests that were already in
   * transit receive an error response rather than a closed connection.
   *
   * @param drainMillis the longest wait for requests in flight
   */
  public void stop(long drainMillis) {
    graceful.shutdown();
    try {
      graceful.awaitShutdown(drainMillis);
      Thread.sleep(Math.min(REFUSE_MILLIS, drainMillis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    server.stop();
  }

  /** Builder of an {@link HttpServer}. Not thread-safe. */
  public static final class Builder {
    private static final AtomicLong GENERATED_IDS = new AtomicLong();

    private final String host;
    private final int port;
    private final RoutingHandler routes = new RoutingHandler();
    private int workerThreads = 16;
    private long maxBodyBytes = 1024L * 1024;
    private HttpErrorMapper errorMapper = HttpErrorMapper.PLAIN;
    private String idPrefix = "r";
    private AsyncHandler asyncHandler;

    private Builder(String host, int port) {
      this.host = host;
      this.port = port;
    }

    /** Sets the number of worker threads that handle requests. */
    public Builder setWorkerThreads(int value) {
      workerThreads = value;
      return this;
    }

    /** Sets the maximum size of a request body in bytes. */
    public Builder setMaxBodyBytes(long value) {
      maxBodyBytes = value;
      return this;
    }

    /** Sets the mapper of handler exceptions to responses. */
    public Builder setErrorMapper(HttpErrorMapper value) {
      errorMapper = value;
      return this;
    }

    /** Sets the prefix of generated request ids. */
    public Builder setIdPrefix(String value) {
      idPrefix = value;
      return this;
    }

    /**
     * Adds a route.
     *
     * @param method the HTTP method
     * @param template the path template, with path parameters as {name}
     * @param handler the handler of matching requests
     * @return this builder
     */
    public Builder route(String method, String template, HttpHandlerFunction handler) {
      routes.add(method, template, adapt(handler));
      return this;
    }

    /**
     * Sets the handler of requests that match no route.
     *
     * @param handler the handler
     * @return this builder
     */
    public Builder fallback(HttpHandlerFunction handler) {
      routes.setFallbackHandler(adapt(handler));
      routes.setInvalidMethodHandler(adapt(handler));
      return this;
    }

    /**
     * Sets a non-blocking handler of all requests. Routes and the fallback are then ignored.
     *
     * @param handler the handler
     * @return this builder
     */
    public Builder setAsyncHandler(AsyncHandler handler) {
      asyncHandler = handler;
      return this;
    }

    /** Creates the server without starting it. */
    public HttpServer build() {
      return new HttpServer(this);
    }

    private HttpHandler adapt(HttpHandlerFunction handler) {
      return exchange -> {
        HttpRequest request = toRequest(exchange, "");
        HttpReply reply;
        try {
          request = toRequest(exchange, readBody(exchange));
          reply = handler.handle(request);
        } catch (Exception e) {
          reply = errorMapper.reply(request, e);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseHeaders().put(REQUEST_ID, request.id());
        exchange.setStatusCode(reply.status());
        exchange.getResponseSender().send(reply.body(), StandardCharsets.UTF_8);
      };
    }

    private static String readBody(HttpServerExchange exchange) throws IOException {
      return new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private HttpRequest toRequest(HttpServerExchange exchange, String body) {
      Map<String, String> parameters = new HashMap<>();
      exchange.getQueryParameters().forEach((name, values) -> parameters.put(name, values.peek()));
      return new HttpRequest(
          requestId(exchange),
          exchange.getRequestMethod().toString(),
          exchange.getRequestPath(),
          parameters,
          body);
    }

    private String requestId(HttpServerExchange exchange) {
      String id = exchange.getRequestHeaders().getFirst(REQUEST_ID);
      boolean valid = id != null && id.length() <= MAX_REQUEST_ID_CHARS;
      if (!valid) {
        id = idPrefix + "-" + GENERATED_IDS.incrementAndGet();
        exchange.getRequestHeaders().put(REQUEST_ID, id);
      }
      return id;
    }
  }
}
