package org.peridotroute.scheduler.table;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.port.KeyedRecord;

/** Guards against an accepted job that other VMs cannot read. */
final class RequestCodecTest {
  /** Written by versions that used data binding; it contains every field. */
  private static final String STORED =
      "{\"id\":{\"value\":\"0123456789abcdef\"},\"organisation\":\"o\",\"queue\":\"q\","
          + "\"service\":\"s\",\"terms\":{\"priority\":2,\"maxAttempts\":1,\"stretch\":1.5,"
          + "\"objectiveMillis\":100,\"allowedRegions\":[\"r1\",\"r2\"]},"
          + "\"acceptedAtMillis\":17,\"request\":{\"payload\":\"p\",\"steps\":["
          + "{\"count\":2,\"need\":{\"milliCores\":1000,\"accelerators\":1},"
          + "\"estimateMillis\":5,\"gang\":true},{\"count\":1,\"need\":{},\"after\":[0],"
          + "\"checkpoints\":true,\"sameRack\":true,\"requiredLabel\":\"l\","
          + "\"dataRack\":\"d\",\"maxPerWorker\":3,\"speculative\":true,\"service\":true,"
          + "\"image\":\"i\",\"targetMillis\":4,\"background\":true,\"maxUnavailable\":2}],"
          + "\"schedule\":{\"firstDueMillis\":5,\"intervalMillis\":6,\"repeats\":7}}}";

  // During a change of the program, VMs of both versions read what the other has stored.
  @Test
  void recordsKeepTheFormOfEarlierVersions() throws Exception {
    KeyedRecord stored =
        KeyedRecord.of("job/0123456789abcdef", STORED.getBytes(StandardCharsets.UTF_8));
    PreparedSubmission submission = RequestCodec.readSubmission(stored);
    assertThat(submission.preparedAtOffset()).isEqualTo(-1);
    assertThat(new String(RequestCodec.writeSubmission(submission).value(), StandardCharsets.UTF_8))
        .isEqualTo(STORED);
  }

  @Test
  void submissionWithEmptyValuesIsReadBack() throws Exception {
    Submission submission =
        new Submission(
            new JobId("0000000000000001"),
            "",
            "queue",
            "service",
            new Submission.Terms(0, 1, 1, 0),
            0,
            new JobRequest("", List.of(StepSpec.newBuilder().build()), Schedule.ONCE));
    for (long preparedAtOffset : new long[] {-1, 0, 17}) {
      PreparedSubmission prepared = new PreparedSubmission(submission, preparedAtOffset);
      assertThat(RequestCodec.readSubmission(RequestCodec.writeSubmission(prepared)))
          .isEqualTo(prepared);
    }
  }
}
