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
 * An HTTP server with JSON bodies. Built with {@link #newBuilder}, then started once and stopped
 * once. A stop lets requests in flight end.
 */
public final class HttpServer {
  private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
  private static final int MAX_REQUEST_ID_CHARS = 64;
  private static final long REFUSE_MILLIS = 250;
  private static final int IO_THREADS = 1;
  private static final int IDLE_MILLIS = 60_000;

  private final String host;
  private final Undertow server;
  private final GracefulShutdownHandler graceful;

  private HttpServer(Builder builder) {
    host = builder.host;
    HttpHandler root =
        builder.async == null
            ? new BlockingHandler(builder.routes)
            : new AsyncAdapter(builder.async);
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
   * Starts a server's description.
   *
   * @param host the address to listen on
   * @param port the port, 0 for any free one
   * @return the builder
   */
  public static Builder newBuilder(String host, int port) {
    return new Builder(host, port);
  }

  /** Starts listening. Fails with a {@link RuntimeException} if the address is taken. */
  public void start() {
    server.start();
  }

  /** Returns the port listened on, once started. */
  public int port() {
    return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
  }

  /** Returns the URL to reach the server by, once started. */
  public String url() {
    return "http://" + host + ":" + port();
  }

  /**
   * Refuses new requests, waits for those in flight, then stops. Requests that were already on
   * their way get a refusal and not a closed connection.
   *
   * @param drainMillis the longest wait
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

  /** Builder of an {@link HttpServer}. Not safe for use by several threads. */
  public static final class Builder {
    private static final AtomicLong REQUESTS = new AtomicLong();

    private final String host;
    private final int port;
    private final RoutingHandler routes = new RoutingHandler();
    private int workerThreads = 16;
    private long maxBodyBytes = 1024L * 1024;
    private HttpErrorMapper errors = HttpErrorMapper.PLAIN;
    private String idPrefix = "r";
    private AsyncHandler async;

    private Builder(String host, int port) {
      this.host = host;
      this.port = port;
    }

    /** Sets the number of threads that handle requests. */
    public Builder setWorkerThreads(int value) {
      workerThreads = value;
      return this;
    }

    /** Sets the most bytes of a body. */
    public Builder setMaxBodyBytes(long value) {
      maxBodyBytes = value;
      return this;
    }

    /** Sets what turns faults into answers. */
    public Builder setErrorMapper(HttpErrorMapper value) {
      errors = value;
      return this;
    }

    /** Sets what the ids of requests begin with. */
    public Builder setIdPrefix(String value) {
      idPrefix = value;
      return this;
    }

    /**
     * Adds a route.
     *
     * @param method the method
     * @param template the path, with {names} for parameters
     * @param handler what handles it
     * @return this
     */
    public Builder route(String method, String template, HttpHandlerFunction handler) {
      routes.add(method, template, adapt(handler));
      return this;
    }

    /**
     * Sets what handles requests for which there is no route.
     *
     * @param handler what handles them
     * @return this
     */
    public Builder fallback(HttpHandlerFunction handler) {
      routes.setFallbackHandler(adapt(handler));
      routes.setInvalidMethodHandler(adapt(handler));
      return this;
    }

    /**
     * Sets what handles all requests without blocking, in place of routes.
     *
     * @param handler what handles them
     * @return this
     */
    public Builder setAsyncHandler(AsyncHandler handler) {
      async = handler;
      return this;
    }

    /** Returns the server, not yet started. */
    public HttpServer build() {
      return new HttpServer(this);
    }

    private HttpHandler adapt(HttpHandlerFunction handler) {
      return exchange -> {
        HttpRequest request = describe(exchange, "");
        HttpReply reply;
        try {
          request = describe(exchange, body(exchange));
          reply = handler.handle(request);
        } catch (Exception e) {
          reply = errors.reply(request, e);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseHeaders().put(REQUEST_ID, request.id());
        exchange.setStatusCode(reply.status());
        exchange.getResponseSender().send(reply.body(), StandardCharsets.UTF_8);
      };
    }

    private static String body(HttpServerExchange exchange) throws IOException {
      return new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private HttpRequest describe(HttpServerExchange exchange, String body) {
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
      String given = exchange.getRequestHeaders().getFirst(REQUEST_ID);
      boolean usable = given != null && given.length() <= MAX_REQUEST_ID_CHARS;
      if (!usable) {
        given = idPrefix + "-" + REQUESTS.incrementAndGet();
        exchange.getRequestHeaders().put(REQUEST_ID, given);
      }
      return given;
    }
  }
}
