package org.peridotroute.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;

/**
 * An asynchronous HTTP client with a pool of idle connections for each server. A connection on
 * which a call times out or fails is closed and never reused. Started once and stopped once.
 * Thread-safe.
 */
public final class HttpClient {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_IDLE_PER_SERVER = 8;

  /** Estimated bytes of a start line beyond the method and path, for the traffic counters. */
  private static final int START_LINE_BYTES = 14;

  /** Bytes between a header's name and value and after its value. */
  private static final int HEADER_SEPARATOR_BYTES = 4;

  private static final int MAX_PORT = 65_535;

  private static final String TIMEOUT_MESSAGE = "no response from %s within %d ms";

  private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
  private final Map<String, Deque<ClientConnection>> idleConnections = new ConcurrentHashMap<>();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final LongAdder callCount = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private XnioWorker worker;

  /** Starts the I/O thread. */
  public void start() {
    try {
      worker =
          Xnio.getInstance()
              .createWorker(
                  OptionMap.builder()
                      .set(Options.WORKER_IO_THREADS, 1)
                      .set(Options.WORKER_TASK_CORE_THREADS, 1)
                      .set(Options.WORKER_TASK_MAX_THREADS, 1)
                      .set(Options.WORKER_NAME, "http-caller")
                      .set(Options.THREAD_DAEMON, true)
                      .set(Options.TCP_NODELAY, true)
                      .getMap());
    } catch (IOException e) {
      throw new IllegalStateException("cannot start the I/O thread of the HTTP client", e);
    }
  }

  /** Stops the I/O thread and closes all connections. Calls in flight fail. */
  public void stop() {
    worker.shutdownNow();
  }

  /** Returns the number of open connections, idle ones included. */
  public int openConnections() {
    return openConnections.get();
  }

  /** Returns the number of calls started since the client was created. */
  public long callCount() {
    return callCount.sum();
  }

  /** Returns the approximate number of bytes sent, headers included. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the approximate number of bytes received, headers included. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /**
   * Sends a request with a JSON body.
   *
   * @param method the HTTP method
   * @param url the absolute URL
   * @param body the JSON body, or null
   * @param timeoutMillis timeout as of {@link HttpCall}
   * @return a future of the response, whatever its status; it fails with {@link ConnectException}
   *     if the request was not sent, and with another {@link IOException} if no response arrived,
   *     in which case it is unknown whether the call had an effect
   */
  public CompletableFuture<HttpReply> call(
      String method, String url, String body, long timeoutMillis) {
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    return call(new HttpCall(method, url, Map.of(), "application/json", bytes, timeoutMillis))
        .thenApply(reply -> new HttpReply(reply.status(), reply.text()));
  }

  /**
   * Sends a request with a body of any content type.
   *
   * @param request the request
   * @return a future that completes as that of {@link #call(String, String, String, long)}; a URL
   *     that cannot be connected to fails the future like a refused connection
   */
  public CompletableFuture<HttpBytesReply> call(HttpCall request) {
    URI uri;
    try {
      uri = parseUrl(request.url());
    } catch (IllegalArgumentException e) {
      return CompletableFuture.failedFuture(connectFailure(e));
    }
    Call call = new Call(request, uri);
    callCount.increment();
    call.begin();
    return call.reply;
  }

  private static URI parseUrl(String url) {
    URI uri = URI.create(url);
    if (uri.getHost() == null || uri.getPort() == 0 || uri.getPort() > MAX_PORT) {
      throw new IllegalArgumentException("no valid host and port in the URL " + url);
    }
    return uri;
  }

  private static ConnectException connectFailure(Exception cause) {
    ConnectException failure = new ConnectException(cause.getMessage());
    failure.initCause(cause);
    return failure;
  }

  /**
   * Closes the idle connections to a server. After a failed call they are suspect, since an
   * intermediary on the path may have dropped them without closing them.
   *
   * @param authority host and port of the server
   */
  public void closeIdleConnections(String authority) {
    Deque<ClientConnection> connections = idleConnections.remove(authority);
    if (connections != null) {
      connections.forEach(IoUtils::safeClose);
    }
  }

  private ClientConnection takeIdle(String authority) {
    Deque<ClientConnection> connections = idleConnections.get(authority);
    if (connections == null) {
      return null;
    }
    ClientConnection connection = connections.pollFirst();
    while (connection != null && !connection.isOpen()) {
      connection = connections.pollFirst();
    }
    return connection;
  }

  private void releaseIdle(String authority, ClientConnection connection) {
    Deque<ClientConnection> connections =
        idleConnections.computeIfAbsent(authority, key -> new ConcurrentLinkedDeque<>());
    if (connections.size() >= MAX_IDLE_PER_SERVER || !connection.isOpen()) {
      IoUtils.safeClose(connection);
    } else {
      connections.addFirst(connection);
    }
  }

  /** A call in flight, from acquiring a connection to its response or failure. */
  private final class Call {
    private final HttpCall request;
    private final URI uri;
    private final CompletableFuture<HttpBytesReply> reply = new CompletableFuture<>();
    private volatile ClientConnection connection;
    private volatile XnioExecutor.Key timer;

    Call(HttpCall request, URI uri) {
      this.request = request;
      this.uri = uri;
    }

    private void startTimer() {
      timer =
          worker
              .getIoThread()
              .executeAfter(
                  () ->
                      fail(
                          new IOException(
                              TIMEOUT_MESSAGE.formatted(
                                  uri.getAuthority(), request.timeoutMillis()))),
                  request.timeoutMillis(),
                  TimeUnit.MILLISECONDS);
    }

    /** Restarts the timeout, so that a long response over a slow link is not given up. */
    private void onProgress() {
      if (timer.remove()) {
        startTimer();
      }
    }

    void begin() {
      startTimer();
      ClientConnection pooled = takeIdle(uri.getAuthority());
      if (pooled != null) {
        send(pooled);
        return;
      }
      try {
        connect();
      } catch (IllegalArgumentException e) {
        // Thrown for a host that cannot be resolved.
        fail(connectFailure(e));
      }
    }

    private void connect() {
      UndertowClient.getInstance()
          .connect(
              new ClientCallback<>() {
                @Override
                public void completed(ClientConnection fresh) {
                  openConnections.incrementAndGet();
                  fresh.getCloseSetter().set(channel -> openConnections.decrementAndGet());
                  send(fresh);
                }

                @Override
                public void failed(IOException e) {
                  fail(connectFailure(e));
                }
              },
              URI.create("http://" + uri.getAuthority()),
              worker,
              buffers,
              OptionMap.EMPTY);
    }

    private void send(ClientConnection target) {
      connection = target;
      if (reply.isDone()) {
        IoUtils.safeClose(target);
        return;
      }
      target
          .getIoThread()
          .execute(() -> target.sendRequest(clientRequest(), new ExchangeCallback()));
    }

    private ClientRequest clientRequest() {
      String query = uri.getRawQuery();
      String path = uri.getRawPath();
      ClientRequest clientRequest =
          new ClientRequest()
              .setMethod(new HttpString(request.method()))
              .setPath(query == null ? path : path + "?" + query);
      HeaderMap headers = clientRequest.getRequestHeaders();
      headers.put(Headers.HOST, uri.getAuthority());
      request.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
      int bodyBytes = request.body() == null ? 0 : request.body().length;
      if (request.body() != null) {
        headers.put(Headers.CONTENT_TYPE, request.contentType());
        headers.put(Headers.CONTENT_LENGTH, Integer.toString(bodyBytes));
      }
      sentBytes.add(
          START_LINE_BYTES
              + request.method().length()
              + path.length()
              + bodyBytes
              + headerBytes(headers));
      return clientRequest;
    }

    private int headerBytes(HeaderMap headers) {
      int bytes = 0;
      for (HeaderValues values : headers) {
        for (String value : values) {
          bytes += values.getHeaderName().length() + value.length() + HEADER_SEPARATOR_BYTES;
        }
      }
      return bytes;
    }

    private void succeed(HttpBytesReply response) {
      timer.remove();
      if (reply.complete(response)) {
        releaseIdle(uri.getAuthority(), connection);
      }
    }

    private void fail(IOException failure) {
      timer.remove();
      reply.completeExceptionally(failure);
      IoUtils.safeClose(connection);
    }

    /** Writes the request body and reads the response. */
    private final class ExchangeCallback implements ClientCallback<ClientExchange> {
      @Override
      public void completed(ClientExchange exchange) {
        exchange.setResponseListener(
            new ClientCallback<>() {
              @Override
              public void completed(ClientExchange responded) {
                readBody(responded);
              }

              @Override
              public void failed(IOException e) {
                fail(e);
              }
            });
        if (request.body() != null) {
          new ByteBodyWriter(request.body(), Call.this::fail).write(exchange.getRequestChannel());
        }
      }

      @Override
      public void failed(IOException e) {
        fail(e);
      }

      private void readBody(ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        HeaderMap headers = exchange.getResponse().getResponseHeaders();
        new ByteBodyReader(
                buffers,
                Call.this::onProgress,
                body -> {
                  receivedBytes.add(START_LINE_BYTES + body.length + headerBytes(headers));
                  succeed(new HttpBytesReply(status, body));
                },
                Call.this::fail)
            .read(exchange.getResponseChannel());
      }
    }
  }
}
