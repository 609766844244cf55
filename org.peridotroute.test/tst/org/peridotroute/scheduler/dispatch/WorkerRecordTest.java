package org.peridotroute.scheduler.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.HostPort;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.conduct.SavedConduct;

/** Guards against the loss of what is known of a worker at a change of planner or of program. */
final class WorkerRecordTest {
  private static final WorkerId ID = new WorkerId("w-1");

  private static Optional<WorkerRecord> read(String text) {
    return WorkerRecord.read(ID, text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void keepsTheQuarantineOfAWorker() {
    WorkerRecord record =
        new WorkerRecord(
            ID,
            HostPort.parse("10.0.0.1:1"),
            17,
            true,
            new SavedConduct(2, 1_764_000_000_000L),
            90);
    assertThat(WorkerRecord.read(ID, record.toRecord().value())).isEqualTo(Optional.of(record));
  }

  // Without the feature, records must stay as they were.
  @Test
  void writesNothingMoreForAWorkerThatWasNeverQuarantined() {
    WorkerRecord record =
        new WorkerRecord(
            ID, HostPort.parse("10.0.0.1:1"), 17, false, SavedConduct.NONE, WorkerRecord.REPLIES);
    assertThat(new String(record.toRecord().value(), StandardCharsets.UTF_8))
        .isEqualTo("10.0.0.1:1 17 false");
    assertThat(read("10.0.0.1:1 17 false")).isEqualTo(Optional.of(record));
  }

  // A successor would wait for leases that a planner before it no longer extended.
  @Test
  void keepsThatAWorkerIsSilent() {
    WorkerRecord record =
        new WorkerRecord(ID, HostPort.parse("10.0.0.1:1"), 17, false, SavedConduct.NONE, 6_450);
    assertThat(WorkerRecord.read(ID, record.toRecord().value())).isEqualTo(Optional.of(record));
  }

  @Test
  void keepsTheAddressIfTheConductIsMalformed() {
    WorkerRecord record =
        new WorkerRecord(
            ID, HostPort.parse("10.0.0.1:1"), 17, false, SavedConduct.NONE, WorkerRecord.REPLIES);
    assertThat(read("10.0.0.1:1 17 false x@y later")).isEqualTo(Optional.of(record));
  }
}
