package org.peridotroute.adapter;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobRequest;

/** Tests the decoding of valid, malformed and out-of-range submissions. */
final class JobRequestDecoderTest {
  private static JobRequest decode(String body) throws WireFormatException {
    return JobRequestDecoder.decode(body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void decodesEveryField() throws WireFormatException {
    JobRequest job =
        decode(
            "{\"spec\":\"p\",\"repeats\":2,\"start_at_ms\":10,\"interval_ms\":5,\"steps\":["
                + "{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":900},"
                + "{\"count\":4,\"cpu\":2000,\"mem_mb\":1,\"gpu\":8,\"after\":[0],\"gang\":true,"
                + "\"same_rack\":true,\"checkpoints\":true,\"required_label\":\"a\","
                + "\"data_rack\":\"r1-2\",\"max_per_server\":1}]}");
    assertThat(job.payload()).isEqualTo("p");
    assertThat(job.schedule().dueMillis(1)).isEqualTo(15);
    assertThat(job.steps().get(0).need()).isEqualTo(new Capacity(500, 256, 0));
    assertThat(job.steps().get(1).after()).containsExactly(0);
    assertThat(job.steps().get(1).gang()).isTrue();
    assertThat(job.steps().get(1).sameRack()).isTrue();
    assertThat(job.steps().get(1).dataRack()).isEqualTo("r1-2");
    assertThat(job.steps().get(1).maxPerWorker()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "not json",
        "[]",
        "{\"steps\":[{\"count\":1}]}",
        "{\"spec\":7,\"steps\":[{\"count\":1}]}",
        "{\"spec\":\"p\",\"steps\":{}}",
        "{\"spec\":\"p\",\"steps\":[7]}",
        "{\"spec\":\"p\",\"steps\":[{\"count\":\"x\"}]}",
        "{\"spec\":\"p\",\"steps\":[{\"count\":1,\"gang\":1}]}",
        "{\"spec\":\"p\",\"steps\":[{\"count\":1,\"after\":[\"0\"]}]}"
      })
  void rejectsMalformedBodies(String body) {
    assertThrows(WireFormatException.class, () -> decode(body));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"spec\":\"p\",\"steps\":[]}",
        "{\"spec\":\"p\"}",
        "{\"spec\":\"p\",\"steps\":[{\"count\":0}]}",
        "{\"spec\":\"p\",\"steps\":[{\"count\":-3}]}",
        "{\"spec\":\"p\",\"steps\":[{\"count\":1,\"cpu\":-1}]}",
        "{\"spec\":\"p\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
        "{\"spec\":\"p\",\"steps\":[{\"count\":1,\"after\":[1]},{\"count\":1}]}"
      })
  void rejectsValuesOutOfRange(String body) {
    assertThrows(InvalidValueException.class, () -> decode(body));
  }

  @Test
  void rejectsTooLongPayload() {
    String body = "{\"spec\":\"" + "x".repeat(4_001) + "\",\"steps\":[{\"count\":1}]}";
    assertThrows(InvalidValueException.class, () -> decode(body));
  }
}
