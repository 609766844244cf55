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
 * An HTTP client with JSON bodies and a pool of idle connections for each server. A connection on
 * which a call gets no answer in time is closed, and the next call takes another. Started once and
 * stopped once; safe for use by several threads.
 */
public final class HttpClient {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_IDLE_PER_SERVER = 8;
  private static final int LINE_BYTES = 14;
  private static final int SEPARATOR_BYTES = 4;
  private static final String NO_ANSWER = "no answer from %s within %d ms";

  private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
  private final Map<String, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();
  private final AtomicInteger open = new AtomicInteger();
  private final LongAdder calls = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private XnioWorker worker;

  /** Starts the thread that reads and writes. */
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
      throw new IllegalStateException("the thread of the HTTP client does not start", e);
    }
  }

  /** Closes all connections. Calls under way fail. */
  public void stop() {
    worker.shutdownNow();
  }

  /** Returns the number of connections that are open. */
  public int openConnections() {
    return open.get();
  }

  /** Returns the number of calls begun. */
  public long callCount() {
    return calls.sum();
  }

  /** Returns the bytes sent, bodies and headers. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the bytes received, bodies and headers. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /**
   * Makes a call.
   *
   * @param method the method
   * @param url the URL
   * @param body the body, null for none
   * @param timeoutMillis the longest wait, connecting included
   * @return completes with the answer, whatever its status; fails with {@link IOException} if there
   *     is none, and then nobody knows whether the call had an effect, except with {@link
   *     ConnectException}, when nothing was sent
   */
  public CompletableFuture<HttpReply> call(
      String method, String url, String body, long timeoutMillis) {
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    return call(new HttpCall(method, url, Map.of(), "application/json", bytes, timeoutMillis))
        .thenApply(reply -> new HttpReply(reply.status(), reply.text()));
  }

  /**
   * Makes a call with a body of any kind.
   *
   * @param request the call
   * @return as {@link #call(String, String, String, long)}
   */
  public CompletableFuture<HttpBytesReply> call(HttpCall request) {
    Call call = new Call(request);
    calls.increment();
    call.begin();
    return call.reply;
  }

  /**
   * Closes the idle connections to a server, which something between may have forgotten.
   *
   * @param authority host and port
   */
  public void closeIdleConnections(String authority) {
    Deque<ClientConnection> connections = idle.remove(authority);
    if (connections != null) {
      connections.forEach(IoUtils::safeClose);
    }
  }

  private ClientConnection takeIdle(String server) {
    Deque<ClientConnection> connections = idle.get(server);
    if (connections == null) {
      return null;
    }
    ClientConnection connection = connections.pollFirst();
    while (connection != null && !connection.isOpen()) {
      connection = connections.pollFirst();
    }
    return connection;
  }

  private void giveIdle(String server, ClientConnection connection) {
    Deque<ClientConnection> connections =
        idle.computeIfAbsent(server, key -> new ConcurrentLinkedDeque<>());
    if (connections.size() >= MAX_IDLE_PER_SERVER || !connection.isOpen()) {
      IoUtils.safeClose(connection);
    } else {
      connections.addFirst(connection);
    }
  }

  /** One call, from its connection to its answer. Lives for the request. */
  private final class Call {
    private final HttpCall request;
    private final URI uri;
    private final CompletableFuture<HttpBytesReply> reply = new CompletableFuture<>();
    private volatile ClientConnection connection;
    private volatile XnioExecutor.Key timer;

    Call(HttpCall request) {
      this.request = request;
      uri = URI.create(request.url());
    }

    void begin() {
      timer =
          worker
              .getIoThread()
              .executeAfter(
                  () ->
                      fail(
                          new IOException(
                              NO_ANSWER.formatted(uri.getAuthority(), request.timeoutMillis()))),
                  request.timeoutMillis(),
                  TimeUnit.MILLISECONDS);
      ClientConnection pooled = takeIdle(uri.getAuthority());
      if (pooled != null) {
        send(pooled);
        return;
      }
      UndertowClient.getInstance()
          .connect(
              new ClientCallback<>() {
                @Override
                public void completed(ClientConnection fresh) {
                  open.incrementAndGet();
                  fresh.getCloseSetter().set(channel -> open.decrementAndGet());
                  send(fresh);
                }

                @Override
                public void failed(IOException e) {
                  ConnectException refused = new ConnectException(e.getMessage());
                  refused.initCause(e);
                  fail(refused);
                }
              },
              URI.create("http://" + uri.getAuthority()),
              worker,
              buffers,
              OptionMap.EMPTY);
    }

    private void send(ClientConnection to) {
      connection = to;
      if (reply.isDone()) {
        IoUtils.safeClose(to);
        return;
      }
      to.getIoThread().execute(() -> to.sendRequest(outgoing(), new OnExchange()));
    }

    private ClientRequest outgoing() {
      String query = uri.getRawQuery();
      String path = uri.getRawPath();
      ClientRequest out =
          new ClientRequest()
              .setMethod(new HttpString(request.method()))
              .setPath(query == null ? path : path + "?" + query);
      HeaderMap headers = out.getRequestHeaders();
      headers.put(Headers.HOST, uri.getAuthority());
      request.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
      int bodyBytes = request.body() == null ? 0 : request.body().length;
      if (request.body() != null) {
        headers.put(Headers.CONTENT_TYPE, request.contentType());
        headers.put(Headers.CONTENT_LENGTH, Integer.toString(bodyBytes));
      }
      sentBytes.add(
          LINE_BYTES + request.method().length() + path.length() + bodyBytes + size(headers));
      return out;
    }

    private int size(HeaderMap headers) {
      int bytes = 0;
      for (HeaderValues values : headers) {
        for (String value : values) {
          bytes += values.getHeaderName().length() + value.length() + SEPARATOR_BYTES;
        }
      }
      return bytes;
    }

    private void succeed(HttpBytesReply answer) {
      timer.remove();
      if (reply.complete(answer)) {
        giveIdle(uri.getAuthority(), connection);
      }
    }

    private void fail(IOException failure) {
      timer.remove();
      reply.completeExceptionally(failure);
      IoUtils.safeClose(connection);
    }

    /** Writes the body and reads the answer. */
    private final class OnExchange implements ClientCallback<ClientExchange> {
      @Override
      public void completed(ClientExchange exchange) {
        exchange.setResponseListener(
            new ClientCallback<>() {
              @Override
              public void completed(ClientExchange answered) {
                readBody(answered);
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
                body -> {
                  receivedBytes.add(LINE_BYTES + body.length + size(headers));
                  succeed(new HttpBytesReply(status, body));
                },
                Call.this::fail)
            .read(exchange.getResponseChannel());
      }
    }
  }
}
