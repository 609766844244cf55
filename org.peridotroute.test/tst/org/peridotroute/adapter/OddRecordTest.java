package org.peridotroute.adapter;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.http.HttpBytesReply;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.port.WorkerGateway.CallOutcome;
import org.peridotroute.scheduler.port.WorkerGateway.PollReply;

/**
 * Guards against records and replies from outside that end the thread which decodes them, or that
 * pass numbers on with which the planner cannot calculate: nesting without end, numbers too large,
 * ports out of range, any other type, any bytes.
 */
final class OddRecordTest {
  private static final long MAX_AMOUNT = 1_000_000_000;
  private static final long MAX_SPAN_MILLIS = 86_400_000;
  private static final long MAX_COUNT = 1L << 53;
  private static final StoreRecordDecoder DECODER = new StoreRecordDecoder();

  private static final List<String> ODD_VALUES =
      List.of(
          "null",
          "true",
          "\"\"",
          "\"text\"",
          "{}",
          "[]",
          "[null]",
          "{\"a\":[1,{}]}",
          "0",
          "-1",
          "1.5",
          "1e308",
          "1e400",
          "-1e400",
          "9223372036854775807",
          "-9223372036854775808",
          "18446744073709551616",
          "1" + "0".repeat(1_100),
          nested(900),
          nested(100_000));

  private static String nested(int depth) {
    return "[".repeat(depth) + "]".repeat(depth);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static Map<String, String> soundEntry() {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("service", "\"s\"");
    fields.put("address", "\"10.0.0.1:80\"");
    fields.put("zone", "\"z\"");
    fields.put("version", "\"v1\"");
    fields.put("slots", "8");
    fields.put("state", "\"draining\"");
    fields.put("remaining_ms", "900");
    fields.put("cold_left_ms", "0");
    fields.put("labels", "[\"a\",\"r1-3\"]");
    fields.put("capacity", "{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":8}");
    fields.put("born", "5");
    fields.put("seq", "1");
    return fields;
  }

  private static String json(Map<String, String> fields) {
    return fields.entrySet().stream()
        .map(field -> "\"" + field.getKey() + "\":" + field.getValue())
        .collect(Collectors.joining(",", "{", "}"));
  }

  private static void decodeEverything(byte[] value) {
    DECODER.decodeWorker("i-1", value).ifPresent(OddRecordTest::expectUsable);
    var unused = DECODER.decodeConfiguration(value);
    try {
      var unusedJob = JobRequestDecoder.decode(value);
    } catch (WireFormatException | InvalidValueException e) {
      assertThat(e).hasMessageThat().isNotEmpty();
    }
    PollReply reply = HttpWorkerClient.parsePollReply(new HttpBytesReply(200, value));
    if (reply.outcome() == CallOutcome.DONE) {
      assertThat(reply.clockMillis()).isAtLeast(0L);
    }
  }

  private static void expectUsable(WorkerInfo worker) {
    assertThat(worker.address().port()).isIn(Range.closed(1, 65_535));
    assertThat(worker.remainingMillis()).isIn(Range.closed(0L, MAX_SPAN_MILLIS));
    assertThat(worker.coldMillis()).isIn(Range.closed(0L, MAX_SPAN_MILLIS));
    assertThat(worker.startedAtMillis()).isAtLeast(0L);
    assertThat(worker.capacity().milliCores()).isIn(Range.closed(0L, MAX_AMOUNT));
    assertThat(worker.capacity().memoryMb()).isIn(Range.closed(0L, MAX_AMOUNT));
    assertThat(worker.capacity().accelerators()).isIn(Range.closed(0L, MAX_AMOUNT));
  }

  @Example
  void theSoundEntryNamesAWorker() {
    assertThat(DECODER.decodeWorker("i-1", bytes(json(soundEntry())))).isPresent();
  }

  @Example
  void decodesEachFieldWithEachOddValue() {
    for (String field : soundEntry().keySet()) {
      for (String value : ODD_VALUES) {
        Map<String, String> entry = soundEntry();
        entry.put(field, value);
        SmallStack.run(() -> decodeEverything(bytes(json(entry))));
      }
    }
    for (String field : List.of("cpu", "mem_mb", "gpu")) {
      for (String value : ODD_VALUES) {
        Map<String, String> entry = soundEntry();
        entry.put("capacity", "{\"" + field + "\":" + value + "}");
        SmallStack.run(() -> decodeEverything(bytes(json(entry))));
      }
    }
  }

  @Example
  void decodesPollRepliesWithOddRows() {
    for (String value : ODD_VALUES) {
      for (String body :
          List.of(
              "{\"clock_ms\":%s,\"running\":[],\"ended\":[]}",
              "{\"clock_ms\":9,\"born\":%s,\"running\":[],\"ended\":[]}",
              "{\"clock_ms\":9,\"running\":%s,\"ended\":[]}",
              "{\"clock_ms\":9,\"running\":[%s],\"ended\":[]}",
              "{\"clock_ms\":9,\"running\":[[\"00000000000000c1.0.0.1\",%s,\"\",3]],\"ended\":[]}",
              "{\"clock_ms\":9,\"running\":[[\"00000000000000c1.0.0.1\",1,\"\",%s]],\"ended\":[]}",
              "{\"clock_ms\":9,\"running\":[],\"ended\":[[%s,\"00000000000000c1.0.0.1\",1,\"done\"]]}",
              "{\"clock_ms\":9,\"running\":[],\"ended\":[[1,\"00000000000000c1.0.0.1\",%s,\"done\"]]}")) {
        SmallStack.run(() -> expectSoundRows(body.formatted(value)));
      }
    }
  }

  // A negative number in the id of a task reaches into the list of a job's tasks.
  @Example
  void leavesOutRowsWithNegativeNumbersInTheTask() {
    for (String task :
        List.of("00000000000000c1.-1.0.0", "00000000000000c1.0.-1.0", "00000000000000c1.0.0.-1")) {
      PollReply reply =
          HttpWorkerClient.parsePollReply(
              new HttpBytesReply(
                  200,
                  bytes(
                      "{\"clock_ms\":9,\"running\":[[\"%1$s\",1,\"\",3]],\"ended\":[[1,\"%1$s\",1,\"done\"]]}"
                          .formatted(task))));
      assertThat(reply.running()).isEmpty();
      assertThat(reply.ended()).isEmpty();
    }
  }

  private static void expectSoundRows(String body) {
    PollReply reply = HttpWorkerClient.parsePollReply(new HttpBytesReply(200, bytes(body)));
    if (reply.outcome() != CallOutcome.DONE) {
      return;
    }
    assertThat(reply.clockMillis()).isIn(Range.closed(0L, MAX_COUNT));
    reply
        .running()
        .forEach(
            task -> {
              assertThat(task.run()).isAtLeast(1);
              assertThat(task.percent()).isIn(Range.closed(0, 100));
            });
    reply
        .ended()
        .forEach(
            task -> {
              assertThat(task.run()).isAtLeast(1);
              assertThat(task.number()).isIn(Range.closed(1L, MAX_COUNT));
            });
  }

  @Property(tries = 500, seed = "1")
  void decodesAnyBytes(@ForAll byte[] value) {
    decodeEverything(value);
  }

  @Property(tries = 500, seed = "2")
  void decodesAnyCutOfASoundEntry(@ForAll("cuts") int length) {
    byte[] whole = bytes(json(soundEntry()));
    decodeEverything(Arrays.copyOf(whole, Math.min(length, whole.length)));
  }

  @Provide
  Arbitrary<Integer> cuts() {
    return Arbitraries.integers().between(0, json(soundEntry()).length());
  }

  @Property(tries = 300, seed = "3")
  void decodesAnyId(@ForAll String id) {
    Optional<WorkerInfo> worker = DECODER.decodeWorker(id, bytes(json(soundEntry())));
    worker.ifPresent(info -> assertThat(info.id().value()).isEqualTo(id));
  }
}
