package lab3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP servers of the stand-ins, and the clients' calls. */
final class Http {
  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 32_000;
  private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  record Call(String method, String path, Map<String, String> query, String instance, byte[] body) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  record Answer(int status, byte[] body) {
    static Answer of(int status, String text) {
      return new Answer(status, text.getBytes(StandardCharsets.UTF_8));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  interface Handler {
    /** Returns the answer, or null to close the connection without one. */
    Answer handle(Call call) throws Exception;
  }

  /** Returns a free port below those that the system gives to outgoing connections. */
  static synchronized int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      if (!GIVEN_PORTS.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return port;
      } catch (BindException e) {
        // Another program listens on it.
      }
    }
  }

  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 200);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  private static void handle(HttpExchange exchange, Handler handler) {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Call call =
          new Call(
              exchange.getRequestMethod(),
              exchange.getRequestURI().getPath(),
              query(exchange.getRequestURI().getRawQuery()),
              exchange.getRequestHeaders().getFirst("Peridotroute-Target-Instance"),
              body);
      Answer answer = handler.handle(call);
      if (answer == null) {
        return;
      }
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(
          answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
      if (answer.body().length > 0) {
        exchange.getResponseBody().write(answer.body());
      }
    } catch (Exception e) {
      // The caller has gone, or the worker has crashed meanwhile.
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> fields = new HashMap<>();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        fields.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return fields;
  }

  /** Makes a client's call on a connection of its own. Status 0 stands for no answer. */
  static Answer call(int port, String method, String path, String host, String key, String body) {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(4_000);
      byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + host
              + "\r\nAuthorization: Bearer " + key
              + "\r\nPeridotroute-Timeout-Ms: 3000\r\nConnection: close\r\n"
              + "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
      OutputStream out = socket.getOutputStream();
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      out.write(bytes);
      out.flush();
      InputStream in = socket.getInputStream();
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      int status = Integer.parseInt(text.split(" ", 3)[1]);
      int end = text.indexOf("\r\n\r\n");
      return Answer.of(status, end < 0 ? "" : text.substring(end + 4));
    } catch (IOException | RuntimeException e) {
      return Answer.of(0, e.toString());
    }
  }
}
