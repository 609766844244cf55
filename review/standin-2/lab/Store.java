package lab;

import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: a log of topics with one partition each. Appends are linearizable and
 * idempotent by producer, epoch and sequence number.
 */
final class Store {
  private static final int PAGE_RECORDS = 500;
  private static final int PAGE_BYTES = 700_000;

  /** An answer that can be given again to a repeated append. */
  private record Appended(long sequence, String answer) {}

  /** Producer state of one topic. */
  private static final class Producer {
    private long epoch = -1;
    private final List<Appended> last = new ArrayList<>();
  }

  /** The newest record of a key. */
  private record Newest(long offset, byte[] value) {}

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final Map<String, Producer> producers = new HashMap<>();
    private final TreeMap<String, Newest> newest = new TreeMap<>();

    void add(byte[] content) {
      int keyLength = content[0] & 0xff;
      String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
      if (content.length == 1 + keyLength) {
        newest.remove(key);
      } else {
        byte[] value = Arrays.copyOfRange(content, 1 + keyLength, content.length);
        newest.put(key, new Newest(records.size(), value));
      }
      records.add(content);
    }
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private final Http http;
  private final long answerMillis;

  Store(long answerMillis) {
    this.answerMillis = answerMillis;
    http = new Http(Ports.choose(), this::handle);
  }

  String address() {
    return "127.0.0.1:" + http.port();
  }

  void close() {
    http.close();
  }

  /** Writes a record as the operator or a worker does. */
  synchronized void put(String topic, String key, String value) {
    topic(topic).add(record(key, value));
    notifyAll();
  }

  /** Returns the newest value of each key of a topic. */
  synchronized Map<String, byte[]> newestValues(String topic) {
    Map<String, byte[]> values = new LinkedHashMap<>();
    topic(topic).newest.forEach((key, newest) -> values.put(key, newest.value()));
    return values;
  }

  /** Adds a record to a topic of the system, as if the system had written it. */
  synchronized void add(String topic, String key, byte[] value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    topic(topic)
        .add(
            ByteBuffer.allocate(1 + keyBytes.length + value.length)
                .put((byte) keyBytes.length)
                .put(keyBytes)
                .put(value)
                .array());
  }

  private static byte[] record(String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
        .put((byte) keyBytes.length)
        .put(keyBytes)
        .put(valueBytes)
        .array();
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private void handle(HttpExchange exchange) throws IOException {
    Map<String, String> query = Http.query(exchange.getRequestURI());
    byte[] body = exchange.getRequestBody().readAllBytes();
    try {
      Thread.sleep(answerMillis);
      switch (exchange.getRequestURI().getPath()) {
        case "/api/log-append" -> append(exchange, query, body);
        case "/api/log-read" -> read(exchange, query);
        case "/api/log-newest" -> newest(exchange, query);
        default -> Http.reply(exchange, 404, "{}");
      }
    } catch (InterruptedException e) {
      exchange.close();
    }
  }

  private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException {
    String name = query.get("topic");
    if (name.equals("keyed.op") || name.equals("keyed.servers")) {
      Http.reply(exchange, 403, "{}");
      return;
    }
    int status;
    String answer;
    synchronized (this) {
      Topic topic = topic(name);
      long end = topic.records.size();
      Producer producer =
          query.containsKey("producer")
              ? topic.producers.computeIfAbsent(query.get("producer"), key -> new Producer())
              : null;
      long epoch = producer == null ? 0 : Long.parseLong(query.get("epoch"));
      long sequence = producer == null ? 0 : Long.parseLong(query.getOrDefault("seq", "0"));
      Appended repeated = producer == null ? null : findRepeated(producer, epoch, sequence);
      if (producer != null && epoch < producer.epoch) {
        status = 409;
        answer = "{\"reason\":\"fenced\"}";
      } else if (repeated != null) {
        status = 200;
        answer = repeated.answer();
      } else if (producer != null && isOutOfSequence(producer, epoch, sequence)) {
        status = 409;
        answer =
            "{\"reason\":\"seq\",\"expected\":"
                + (producer.last.get(producer.last.size() - 1).sequence() + 1)
                + "}";
      } else if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
        status = 412;
        answer = "{\"end\":" + end + "}";
      } else {
        ByteBuffer records = ByteBuffer.wrap(body);
        while (records.hasRemaining()) {
          byte[] content = new byte[records.getInt()];
          records.get(content);
          topic.add(content);
        }
        status = 200;
        answer = "{\"offset\":" + end + ",\"end\":" + topic.records.size() + "}";
        remember(producer, epoch, sequence, answer);
        notifyAll();
      }
    }
    Http.reply(exchange, status, answer);
  }

  private static Appended findRepeated(Producer producer, long epoch, long sequence) {
    if (epoch != producer.epoch) {
      return null;
    }
    return producer.last.stream()
        .filter(appended -> appended.sequence() == sequence)
        .findFirst()
        .orElse(null);
  }

  private static boolean isOutOfSequence(Producer producer, long epoch, long sequence) {
    return epoch == producer.epoch
        && !producer.last.isEmpty()
        && sequence != producer.last.get(producer.last.size() - 1).sequence() + 1;
  }

  private static void remember(Producer producer, long epoch, long sequence, String answer) {
    if (producer == null) {
      return;
    }
    if (epoch > producer.epoch) {
      producer.epoch = epoch;
      producer.last.clear();
    }
    producer.last.add(new Appended(sequence, answer));
    if (producer.last.size() > 5) {
      producer.last.remove(0);
    }
  }

  private void read(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    long from = Long.parseLong(query.get("from"));
    long deadline =
        System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      long wait = deadline - System.currentTimeMillis();
      while (topic.records.size() <= from && wait > 0) {
        wait(wait);
        wait = deadline - System.currentTimeMillis();
      }
      out.write(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
      for (long i = Math.max(0, from); i < topic.records.size() && out.size() < 1 << 20; i++) {
        byte[] content = topic.records.get((int) i);
        out.write(ByteBuffer.allocate(4).putInt(content.length).array());
        out.write(content);
      }
    }
    Http.reply(exchange, 200, out.toByteArray(), "application/octet-stream");
  }

  private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
    Map<String, Object> answer = new LinkedHashMap<>();
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      String after = query.get("after");
      Map<String, Newest> following =
          after == null ? topic.newest : topic.newest.tailMap(after, false);
      List<Object> items = new ArrayList<>();
      int bytes = 0;
      boolean more = false;
      for (Map.Entry<String, Newest> entry : following.entrySet()) {
        if (items.size() == PAGE_RECORDS || bytes > PAGE_BYTES) {
          more = true;
          break;
        }
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", entry.getKey());
        item.put("value", Base64.getEncoder().encodeToString(entry.getValue().value()));
        item.put("offset", entry.getValue().offset());
        items.add(item);
        bytes += entry.getValue().value().length;
      }
      answer.put("items", items);
      answer.put("has_more", more);
      answer.put("end", (long) topic.records.size());
    }
    Http.reply(exchange, 200, Json.write(answer));
  }
}
