package org.peridotroute.scheduler.table;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;

/** Guards against an accepted job that other VMs cannot read. */
final class RequestCodecTest {
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
    assertThat(RequestCodec.readSubmission(RequestCodec.writeSubmission(submission)))
        .isEqualTo(submission);
  }
}
