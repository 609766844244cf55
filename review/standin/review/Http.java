package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP over loopback: a server with a thread for each request, and a client of single calls. */
final class Http {
  private Http() {}

  /** A response; null from a handler closes the connection without one. */
  record Response(int status, byte[] body) {
    static Response json(int status, String body) {
      return new Response(status, body.getBytes(StandardCharsets.UTF_8));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Handles the requests of a server. */
  interface Handler {
    Response handle(String path, Map<String, String> query, String instance, byte[] body)
        throws InterruptedException;
  }

  /** A server that can be closed, so that connections are refused, and opened again. */
  static final class Server {
    private static final ExecutorService THREADS =
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "stand-in");
              thread.setDaemon(true);
              return thread;
            });

    private final Handler handler;
    private HttpServer server;
    private int port;

    Server(Handler handler) throws IOException {
      this.handler = handler;
      open();
    }

    synchronized void open() throws IOException {
      server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 1_024);
      port = server.getAddress().getPort();
      server.setExecutor(THREADS);
      server.createContext("/", this::serve);
      server.start();
    }

    synchronized void close() {
      server.stop(0);
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    private void serve(HttpExchange exchange) throws IOException {
      try (exchange) {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Response response =
            handler.handle(
                exchange.getRequestURI().getPath(),
                query(exchange.getRequestURI().getQuery()),
                exchange.getRequestHeaders().getFirst("Peridotroute-Target-Instance"),
                body);
        if (response == null) {
          return;
        }
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(
            response.status(), response.body().length == 0 ? -1 : response.body().length);
        exchange.getResponseBody().write(response.body());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (IOException e) {
        // The caller has closed the connection, or this server was closed.
        return;
      }
    }

    private static Map<String, String> query(String text) {
      Map<String, String> query = new HashMap<>();
      if (text != null) {
        for (String part : text.split("&")) {
          int equals = part.indexOf('=');
          query.put(part.substring(0, equals), part.substring(equals + 1));
        }
      }
      return query;
    }
  }

  /** Makes one call; returns a response with status 0 if there was no answer. */
  static Response call(
      String method, String address, String path, String host, String key, String body) {
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          1_000);
      socket.setSoTimeout(3_000);
      byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n"
              + (key == null ? "" : "Authorization: Bearer " + key + "\r\n")
              + "Peridotroute-Timeout-Ms: 3000\r\n"
              + (body == null ? "" : "Content-Type: application/json\r\n")
              + "Content-Length: " + bytes.length + "\r\n\r\n";
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
      request.writeBytes(bytes);
      socket.getOutputStream().write(request.toByteArray());
      InputStream in = socket.getInputStream();
      String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      int end = answer.indexOf("\r\n\r\n");
      if (end < 0 || !answer.startsWith("HTTP/1.1 ")) {
        return Response.json(0, "");
      }
      return Response.json(Integer.parseInt(answer.substring(9, 12)), answer.substring(end + 4));
    } catch (IOException e) {
      return Response.json(0, "");
    }
  }
}
