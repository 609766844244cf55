package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: keyed topics of one partition, as PROTOCOL.md describes their calls. */
final class Store {
  private static final long APPEND_MILLIS = 4;
  private static final int KEPT_REPLIES = 5;
  private static final int PAGE_RECORDS = 500;

  private record Stored(long offset, String key, byte[] content, byte[] value) {}

  private static final class Topic {
    final List<Stored> records = new ArrayList<>();
    final TreeMap<String, Stored> newest = new TreeMap<>();
    final Map<String, Producer> producers = new HashMap<>();
  }

  private static final class Producer {
    long epoch = -1;
    long lastSeq;
    final LinkedHashMap<Long, Http.Response> replies = new LinkedHashMap<>();
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private final Http.Server server;

  Store() throws IOException {
    server = new Http.Server(this::handle);
  }

  String address() {
    return server.address();
  }

  /** Stores a record of the operator or of a worker; a null value drops the key. */
  synchronized long put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer content = ByteBuffer.allocate(1 + name.length + bytes.length);
    content.put((byte) name.length).put(name).put(bytes);
    long offset = add(topic(topic), content.array());
    notifyAll();
    return offset;
  }

  /** Returns the newest value of a key, or null. */
  synchronized String newest(String topic, String key) {
    Stored stored = topic(topic).newest.get(key);
    return stored == null ? null : new String(stored.value(), StandardCharsets.UTF_8);
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private static long add(Topic topic, byte[] content) {
    int length = content[0] & 0xff;
    String key = new String(content, 1, length, StandardCharsets.UTF_8);
    byte[] value = java.util.Arrays.copyOfRange(content, 1 + length, content.length);
    Stored stored = new Stored(topic.records.size(), key, content, value);
    topic.records.add(stored);
    if (value.length == 0) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, stored);
    }
    return stored.offset();
  }

  private Http.Response handle(
      String path, Map<String, String> query, String instance, byte[] body)
      throws InterruptedException {
    String topic = query.getOrDefault("topic", "");
    return switch (path) {
      case "/api/log-append" -> append(topic, query, body);
      case "/api/log-read" -> read(topic, query);
      case "/api/log-newest" -> newestPage(topic, query.getOrDefault("after", ""));
      default -> Http.Response.json(404, "{}");
    };
  }

  private synchronized Http.Response append(String name, Map<String, String> query, byte[] body)
      throws InterruptedException {
    if (name.equals("keyed.op") || name.equals("keyed.servers")) {
      return Http.Response.json(403, "{}");
    }
    Thread.sleep(APPEND_MILLIS);
    Topic topic = topic(name);
    Producer producer = null;
    long epoch = 0;
    long seq = 0;
    if (query.containsKey("producer")) {
      producer = topic.producers.computeIfAbsent(query.get("producer"), key -> new Producer());
      epoch = Long.parseLong(query.get("epoch"));
      seq = Long.parseLong(query.get("seq"));
      if (epoch < producer.epoch) {
        return Http.Response.json(409, "{\"reason\":\"fenced\"}");
      }
      if (epoch == producer.epoch) {
        Http.Response first = producer.replies.get(seq);
        if (first != null) {
          return first;
        }
        if (seq != producer.lastSeq + 1) {
          return Http.Response.json(
              409, "{\"reason\":\"seq\",\"expected\":" + (producer.lastSeq + 1) + "}");
        }
      }
    }
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != topic.records.size()) {
      return Http.Response.json(412, "{\"end\":" + topic.records.size() + "}");
    }
    long offset = topic.records.size();
    ByteBuffer records = ByteBuffer.wrap(body);
    while (records.hasRemaining()) {
      byte[] content = new byte[records.getInt()];
      records.get(content);
      add(topic, content);
    }
    Http.Response reply =
        Http.Response.json(
            200, "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}");
    if (producer != null) {
      if (epoch > producer.epoch) {
        producer.replies.clear();
      }
      producer.epoch = epoch;
      producer.lastSeq = seq;
      producer.replies.put(seq, reply);
      if (producer.replies.size() > KEPT_REPLIES) {
        producer.replies.remove(producer.replies.keySet().iterator().next());
      }
    }
    notifyAll();
    return reply;
  }

  private synchronized Http.Response read(String name, Map<String, String> query)
      throws InterruptedException {
    int from = Integer.parseInt(query.get("from"));
    long waitMillis = Long.parseLong(query.getOrDefault("wait_ms", "0"));
    long untilNanos = System.nanoTime() + waitMillis * 1_000_000;
    Topic topic = topic(name);
    while (topic.records.size() <= from) {
      long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
      if (leftMillis <= 0) {
        break;
      }
      wait(leftMillis);
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
    for (int i = from; i < topic.records.size() && out.size() < 1_000_000; i++) {
      byte[] content = topic.records.get(i).content();
      out.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
      out.writeBytes(content);
    }
    return new Http.Response(200, out.toByteArray());
  }

  private synchronized Http.Response newestPage(String name, String after) {
    Topic topic = topic(name);
    StringBuilder items = new StringBuilder();
    int count = 0;
    boolean more = false;
    for (Stored stored : topic.newest.tailMap(after, false).values()) {
      if (count == PAGE_RECORDS || items.length() > 900_000) {
        more = true;
        break;
      }
      items.append(count++ == 0 ? "" : ",")
          .append("{\"key\":").append(Json.quote(stored.key()))
          .append(",\"value\":\"").append(Base64.getEncoder().encodeToString(stored.value()))
          .append("\",\"offset\":").append(stored.offset()).append("}");
    }
    return Http.Response.json(
        200,
        "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end\":" + topic.records.size()
            + "}");
  }
}
