package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.peridotroute.errors.RecordFormatException;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.scheduler.table.CrashHistory;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.PreparedSubmission;
import org.peridotroute.scheduler.table.ProgressCodec;
import org.peridotroute.scheduler.table.RequestCodec;

/** Encoding and decoding of submissions and progress, and the limit on failed runs of a task. */
final class ProgressCodecTest {
  private static Submission submission(int tasks) {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(tasks)
            .setNeed(new Capacity(1, 2, 3))
            .setEstimateMillis(5)
            .setDataRack("r1-2")
            .build();
    return new Submission(
        new JobId("00000000000000aa"),
        "org",
        "queue",
        "service",
        new Submission.Terms(1, 3, 1.5, 400),
        77,
        new JobRequest("payload", List.of(step), Schedule.ONCE));
  }

  @Test
  void decodesAnEncodedSubmission() throws RecordFormatException {
    PreparedSubmission original = new PreparedSubmission(submission(2), 17);
    assertThat(RequestCodec.readSubmission(RequestCodec.writeSubmission(original)))
        .isEqualTo(original);
  }

  @Property(tries = 200)
  void decodesEncodedProgress(@ForAll @IntRange(min = 1, max = 40) int tasks, @ForAll int pattern)
      throws RecordFormatException {
    Job job = new Job(submission(tasks));
    job.openDueOccurrences(0);
    StepId step = new StepId(job.submission().id(), 0, 0);
    for (int i = 0; i < tasks; i++) {
      int choice = Math.floorMod(pattern >> (i % 13), 4);
      TaskId task = new TaskId(step, i);
      WorkerId worker = new WorkerId("w-" + i % 3);
      if (choice > 0) {
        job.assign(task, choice, worker);
      }
      if (choice == 2) {
        job.endRun(task, choice, worker, RunEnd.STOPPED, "saved-" + i);
      }
      if (choice == 3) {
        job.endRun(task, choice, worker, RunEnd.DONE, "");
      }
    }
    byte[] bytes = ProgressCodec.write(job);
    Job read = ProgressCodec.read(job.submission(), bytes);
    assertThat(ProgressCodec.write(read)).isEqualTo(bytes);
    assertThat(ProgressCodec.readPhase(bytes)).isEqualTo(job.phase());
  }

  @Test
  void rejectsTruncatedProgress() {
    Job job = new Job(submission(3));
    job.openDueOccurrences(0);
    byte[] bytes = ProgressCodec.write(job);
    byte[] truncated = Arrays.copyOf(bytes, bytes.length - 2);
    assertThrows(
        RecordFormatException.class, () -> ProgressCodec.read(job.submission(), truncated));
    assertThrows(RecordFormatException.class, () -> ProgressCodec.readPhase(new byte[] {9, 0}));
  }

  @Test
  void failsTheJobAfterMaxAttempts() {
    Job job = new Job(submission(1));
    job.openDueOccurrences(0);
    TaskId task = new TaskId(new StepId(job.submission().id(), 0, 0), 0);
    WorkerId worker = new WorkerId("w-0");
    for (int run = 1; run <= 3; run++) {
      assertThat(job.phase()).isNotEqualTo(JobPhase.FAILED);
      job.assign(task, run, worker);
      job.endRun(task, run, worker, RunEnd.FAILED, "");
    }
    assertThat(job.phase()).isEqualTo(JobPhase.FAILED);
  }

  // A new planner would start a task that its predecessor has already seen crash three workers.
  @Test
  void keepsTheCrashesOfEachTask() throws RecordFormatException {
    Job job = new Job(submission(3));
    job.openDueOccurrences(0);
    byte[] withoutCrashes = ProgressCodec.write(job);
    TaskId task = new TaskId(new StepId(job.submission().id(), 0, 0), 1);
    WorkerId worker = new WorkerId("w-0");
    for (int run = 1; run <= 2; run++) {
      job.assign(task, run, worker);
      job.crashRun(task, run, worker, 40L * run, CrashHistory.Circumstances.ALONE);
    }
    byte[] bytes = ProgressCodec.write(job);
    Job read = ProgressCodec.read(job.submission(), bytes);
    assertThat(read.step(task).orElseThrow().tasks().get(1).crashHistory())
        .isEqualTo(new CrashHistory(2, 2, 80));
    assertThat(read.step(task).orElseThrow().tasks().get(0).crashHistory())
        .isEqualTo(CrashHistory.NONE);
    read.assign(task, 3, worker);
    read.crashRun(task, 3, worker, 40, CrashHistory.Circumstances.ALONE);
    assertThat(read.phase()).isEqualTo(JobPhase.FAILED);
    // Only the end of the record differs, which programs without crash histories do not read.
    assertThat(bytes.length).isGreaterThan(withoutCrashes.length);
  }

  @Test
  void rejectsEveryUnknownPhaseByte() {
    byte[] encoded = ProgressCodec.write(new Job(submission(1)));
    for (int phase = JobPhase.values().length; phase <= 0xff; phase++) {
      byte[] malformed = encoded.clone();
      malformed[1] = (byte) phase;
      assertThrows(RecordFormatException.class, () -> ProgressCodec.readPhase(malformed));
    }
  }
}
