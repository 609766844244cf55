package lab3;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: keyed topics with one partition, fences and conditional appends. */
final class Store {
  private static final int APPEND_MILLIS = 4;
  private static final int RECORD_BYTES = 262_144;
  private static final int CALL_BYTES = 2_097_152;

  private static final class Topic {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Integer> newest = new TreeMap<>();
    final Map<String, long[]> producers = new LinkedHashMap<>();
    final Map<String, Map<Long, String>> answers = new LinkedHashMap<>();
  }

  private final Map<String, Topic> topics = new LinkedHashMap<>();
  private HttpServer server;
  private int port;
  private int largestRefused;
  private String delayedTopic;
  private long delayMillis;

  void start() throws IOException {
    port = Http.freePort();
    server = Http.serve(port, this::handle);
  }

  /** Leaves the next append to a topic unanswered and carries it out later. */
  synchronized void delayNextAppend(String topic, long millis) {
    delayedTopic = topic;
    delayMillis = millis;
  }

  /** Returns the delay of an append that is to be carried out late, or 0. */
  private synchronized long takeDelay(String topic) {
    if (!topic.equals(delayedTopic)) {
      return 0;
    }
    delayedTopic = null;
    return delayMillis;
  }

  synchronized int largestRefused() {
    return largestRefused;
  }

  int port() {
    return port;
  }

  void stop() {
    server.stop(0);
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  /** Writes a record of the operator or of a worker; no value removes the key. */
  synchronized void put(String topicName, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
    content.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
    add(topic(topicName), content.array());
    notifyAll();
  }

  private static void add(Topic topic, byte[] content) {
    int keyLength = content[0] & 0xff;
    String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
    if (content.length == 1 + keyLength) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, topic.records.size());
    }
    topic.records.add(content);
  }

  private Http.Answer handle(Http.Call call) throws Exception {
    return switch (call.path()) {
      case "/api/log-append" -> append(call);
      case "/api/log-read" -> read(call);
      case "/api/log-newest" -> newest(call);
      default -> Http.Answer.of(404, "{}");
    };
  }

  private Http.Answer append(Http.Call call) throws InterruptedException {
    long late = takeDelay(call.query().get("topic"));
    Thread.sleep(APPEND_MILLIS + late);
    Http.Answer answer = appendNow(call);
    return late > 0 ? null : answer;
  }

  private Http.Answer appendNow(Http.Call call) {
    synchronized (this) {
      Topic topic = topic(call.query().get("topic"));
      String producer = call.query().get("producer");
      if (producer == null) {
        return appendRecords(topic, call);
      }
      long epoch = Long.parseLong(call.query().get("epoch"));
      long sequence = Long.parseLong(call.query().get("seq"));
      long[] last = topic.producers.get(producer);
      if (last != null && epoch < last[0]) {
        return Http.Answer.of(409, "{\"reason\":\"fenced\"}");
      }
      if (last != null && epoch == last[0]) {
        String repeated = topic.answers.get(producer).get(sequence);
        if (repeated != null) {
          return Http.Answer.of(200, repeated);
        }
        if (sequence != last[1] + 1) {
          return Http.Answer.of(409, "{\"reason\":\"seq\",\"seq\":" + (last[1] + 1) + "}");
        }
      }
      Http.Answer answer = appendRecords(topic, call);
      if (answer.status() == 200) {
        if (last == null || epoch > last[0]) {
          topic.answers.put(producer, new LinkedHashMap<>());
        }
        topic.producers.put(producer, new long[] {epoch, sequence});
        Map<Long, String> answers = topic.answers.get(producer);
        answers.put(sequence, answer.text());
        answers.keySet().removeIf(number -> number <= sequence - 5);
      }
      return answer;
    }
  }

  private Http.Answer appendRecords(Topic topic, Http.Call call) {
    String at = call.query().get("at");
    int end = topic.records.size();
    if (at != null && Long.parseLong(at) != end) {
      return Http.Answer.of(412, "{\"end\":" + end + "}");
    }
    for (ByteBuffer body = ByteBuffer.wrap(call.body()); body.hasRemaining(); ) {
      int length = body.getInt();
      if (length > RECORD_BYTES || call.body().length > CALL_BYTES) {
        largestRefused = Math.max(largestRefused, length);
        return Http.Answer.of(400, "{}");
      }
      body.position(body.position() + length);
    }
    ByteBuffer body = ByteBuffer.wrap(call.body());
    while (body.hasRemaining()) {
      byte[] content = new byte[body.getInt()];
      body.get(content);
      add(topic, content);
    }
    notifyAll();
    return Http.Answer.of(
        200, "{\"offset\":" + end + ",\"end\":" + topic.records.size() + "}");
  }

  private synchronized Http.Answer read(Http.Call call) throws Exception {
    Topic topic = topic(call.query().get("topic"));
    int from = Integer.parseInt(call.query().get("from"));
    long wait = Long.parseLong(call.query().getOrDefault("wait_ms", "0"));
    long until = System.nanoTime() + wait * 1_000_000;
    while (topic.records.size() <= from && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(topic.records.size());
    out.writeLong(0);
    for (int i = from; i < topic.records.size() && bytes.size() < 1_000_000; i++) {
      out.writeInt(topic.records.get(i).length);
      out.write(topic.records.get(i));
    }
    return new Http.Answer(200, bytes.toByteArray());
  }

  private synchronized Http.Answer newest(Http.Call call) {
    Topic topic = topic(call.query().get("topic"));
    String after = call.query().get("after");
    List<Object> items = new ArrayList<>();
    Map<String, Integer> rest = after == null ? topic.newest : topic.newest.tailMap(after, false);
    long bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Integer> entry : rest.entrySet()) {
      if (items.size() == 500 || bytes > 900_000) {
        more = true;
        break;
      }
      byte[] content = topic.records.get(entry.getValue());
      byte[] value = Arrays.copyOfRange(content, 1 + (content[0] & 0xff), content.length);
      Map<String, Object> item = new LinkedHashMap<>();
      item.put("key", entry.getKey());
      item.put("value", Base64.getEncoder().encodeToString(value));
      item.put("offset", (long) entry.getValue());
      items.add(item);
      bytes += value.length;
    }
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("items", items);
    page.put("has_more", more);
    page.put("end", (long) topic.records.size());
    return Http.Answer.of(200, Json.write(page));
  }
}
