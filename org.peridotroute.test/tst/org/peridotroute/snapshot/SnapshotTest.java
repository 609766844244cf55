package org.peridotroute.snapshot;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.peridotroute.fold.ConfigFold;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.JobFold;
import org.peridotroute.fold.JobState;
import org.peridotroute.journal.Envelope;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;
import org.peridotroute.lib.Shape;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.WorkerId;

/** Tests splitting snapshots into chunks and assembling them again. */
final class SnapshotTest {
  private static final int CHUNK_BYTES = 200;

  @Property(tries = 20, seed = "7")
  void chunksInAnyOrderRestoreTheSameState(
      @ForAll @IntRange(min = 0, max = 40) int jobs, @ForAll long seed) {
    Snapshot before = snapshot(jobs);
    List<String> chunks = new ArrayList<>(SnapshotCodec.split("s1", before, CHUNK_BYTES));
    Collections.shuffle(chunks, new Random(seed));
    SnapshotAssembler assembler = new SnapshotAssembler();
    chunks.forEach(assembler::add);
    assertThat(assembler.newest()).hasValue(before);
  }

  @Property(tries = 20, seed = "8")
  void incompleteOrCorruptSnapshotIsIgnored(
      @ForAll @IntRange(min = 1, max = 40) int jobs, @ForAll boolean corrupt) {
    Snapshot older = snapshot(jobs);
    List<String> newer =
        new ArrayList<>(SnapshotCodec.split("s2", snapshot(jobs + 1), CHUNK_BYTES));
    String last = newer.remove(newer.size() - 1);
    SnapshotAssembler assembler = new SnapshotAssembler();
    SnapshotCodec.split("s1", older, CHUNK_BYTES).forEach(assembler::add);
    newer.forEach(assembler::add);
    if (corrupt) {
      assembler.add(last.replaceAll("\"data\":\"..", "\"data\":\"AA"));
      assembler.add(last.substring(0, last.length() / 2));
      assembler.add(last.replace("\"index\":", "\"index\":9"));
    }
    assertThat(assembler.newest()).hasValue(older);
  }

  private static Snapshot snapshot(int jobs) {
    JobState state = JobState.EMPTY;
    state = fold(state, new LogRecord.PlannerClaimed(new VmId("vm-1"), 0));
    for (int i = 0; i < jobs; i++) {
      JobKey key = JobKey.of("large", "job-" + i);
      JobSpec spec = JobSpec.newBuilder(new Shape(1, 1, null)).setIdempotent(true).build();
      state = fold(state, new LogRecord.JobSubmitted(key, spec, "r"));
      Member member = new Member(new WorkerId("w"), List.of(i));
      if (i % 3 == 0) {
        state = fold(state, new LogRecord.Placed(state.epoch(), key, 1, true, List.of(member)));
        state = fold(state, new LogRecord.Started(key, state.offset(), List.of("w." + i)));
      } else if (i % 3 == 1) {
        state = fold(state, new LogRecord.CancelRequested(key, "r"));
      }
    }
    LogRecord put =
        new LogRecord.OrganisationPut(
            new OrganisationId("large"), new Organisation(List.of(), "x"), 0);
    ConfigState config = ConfigFold.fold(ConfigState.EMPTY, entry(1, put)).state();
    return new Snapshot(state, config);
  }

  private static JobState fold(JobState state, LogRecord record) {
    return JobFold.fold(state, entry(state.offset() + 1, record)).state();
  }

  private static LogEntry entry(long offset, LogRecord record) {
    return new LogEntry(
        offset, new Envelope(Envelope.VERSION, new Incarnation("i1"), offset, 5, record));
  }
}
