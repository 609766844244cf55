package lab;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on a loopback port that can be closed like a process that has crashed. */
final class Http {
  private final HttpServer server;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
          });

  /**
   * Starts a server.
   *
   * @param port the port
   */
  Http(int port, HttpHandler handler) {
    try {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 128);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange);
          } catch (RuntimeException e) {
            e.printStackTrace();
            exchange.close();
          }
        });
    server.setExecutor(threads);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Closes the port and all connections at once. */
  void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  static Map<String, String> query(URI uri) {
    Map<String, String> fields = new HashMap<>();
    if (uri.getRawQuery() != null) {
      for (String pair : uri.getRawQuery().split("&")) {
        String[] parts = pair.split("=", 2);
        fields.put(
            parts[0],
            parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    return fields;
  }

  static void reply(HttpExchange exchange, int status, byte[] body, String type)
      throws IOException {
    exchange.getResponseHeaders().set("Content-Type", type);
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(body);
      }
    }
    exchange.close();
  }

  static void reply(HttpExchange exchange, int status, String json) throws IOException {
    reply(exchange, status, json.getBytes(StandardCharsets.UTF_8), "application/json");
  }
}
