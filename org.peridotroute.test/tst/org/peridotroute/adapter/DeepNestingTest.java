package org.peridotroute.adapter;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.http.HttpBytesReply;

/**
 * Guards against JSON from outside whose nesting overflows the stack of the thread that decodes it,
 * which ended the process whenever it read the record.
 */
final class DeepNestingTest {
  private static final StoreRecordDecoder DECODER = new StoreRecordDecoder();

  private static void decodeEverything(byte[] value) {
    assertThat(DECODER.decodeWorker("i-1", value)).isEmpty();
    assertThat(DECODER.decodeConfiguration(value)).isEmpty();
    try {
      var unused = JobRequestDecoder.decode(value);
    } catch (WireFormatException | InvalidValueException e) {
      assertThat(e).hasMessageThat().isNotEmpty();
    }
    var unused = HttpWorkerClient.parsePollReply(new HttpBytesReply(200, value));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 32, 63, 64, 65, 500, 700, 999, 1_000, 1_001, 130_000})
  void rejectsAnyDepthOfNesting(int depth) {
    SmallStack.run(
        () -> {
          decodeEverything(bytes("[".repeat(depth) + "]".repeat(depth)));
          decodeEverything(bytes("{\"a\":".repeat(depth)));
          decodeEverything(bytes("{\"a\":".repeat(depth) + "1" + "}".repeat(depth)));
          decodeEverything(bytes("{\"a\":" + "[".repeat(depth) + "]".repeat(depth) + "}"));
        });
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
