package org.peridotroute.scheduler.table;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.errors.RecordFormatException;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.model.TaskId;

/**
 * Binary encoding of a job's progress on the log. The first two bytes, version and phase, can be
 * read without the rest. Stateless.
 */
public final class ProgressCodec {
  private static final int VERSION = 1;
  private static final int HEADER_BYTES = 2;

  /** The phases by their number on the log. New phases must be appended at the end. */
  private static final List<JobPhase> PHASES =
      List.of(
          JobPhase.PENDING,
          JobPhase.RUNNING,
          JobPhase.COMPLETED,
          JobPhase.FAILED,
          JobPhase.CANCELLED);

  /** The states of tasks by their number on the log. New states must be appended at the end. */
  private static final List<TaskProgress.State> STATES =
      List.of(TaskProgress.State.WAITING, TaskProgress.State.ASSIGNED, TaskProgress.State.DONE);

  private ProgressCodec() {}

  /**
   * Encodes the progress of a job.
   *
   * @param job the job
   * @return the encoded progress
   */
  public static byte[] write(Job job) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(VERSION);
      out.writeByte(PHASES.indexOf(job.phase()));
      out.writeInt(job.nextOccurrence());
      List<String> workers = workers(job);
      out.writeShort(workers.size());
      for (String worker : workers) {
        out.writeUTF(worker);
      }
      out.writeShort(job.openOccurrences().size());
      for (Occurrence occurrence : job.openOccurrences()) {
        out.writeInt(occurrence.number());
        for (StepProgress step : occurrence.steps()) {
          write(out, step, workers);
        }
      }
      writeCrashes(out, job);
    } catch (IOException e) {
      throw new IllegalStateException("cannot write to a byte array", e);
    }
    return bytes.toByteArray();
  }

  private static List<String> workers(Job job) {
    Map<String, Boolean> names = new LinkedHashMap<>();
    for (Occurrence occurrence : job.openOccurrences()) {
      for (StepProgress step : occurrence.steps()) {
        for (TaskProgress task : step.tasks()) {
          if (task.worker() != null) {
            names.put(task.worker().value(), true);
          }
        }
      }
    }
    return new ArrayList<>(names.keySet());
  }

  private static void write(DataOutputStream out, StepProgress step, List<String> workers)
      throws IOException {
    out.writeShort(step.tasks().size());
    String previous = "";
    for (TaskProgress task : step.tasks()) {
      boolean hasNewCheckpoint = !task.checkpoint().equals(previous);
      int flags = STATES.indexOf(task.state()) | (hasNewCheckpoint ? 4 : 0);
      out.writeByte(flags);
      out.writeShort(task.run());
      out.writeByte(Math.min(task.failures(), 255));
      if (task.state() == TaskProgress.State.ASSIGNED) {
        out.writeShort(workers.indexOf(task.worker().value()));
      }
      if (hasNewCheckpoint) {
        out.writeUTF(task.checkpoint());
        previous = task.checkpoint();
      }
    }
  }

  /**
   * Appends the crash histories, if there are any, at the end of the record, where programs that do
   * not know them ignore them.
   */
  private static void writeCrashes(DataOutputStream out, Job job) throws IOException {
    for (Occurrence occurrence : job.openOccurrences()) {
      for (StepProgress step : occurrence.steps()) {
        for (int i = 0; i < step.tasks().size(); i++) {
          CrashHistory history = step.tasks().get(i).crashHistory();
          if (history.isSuspect()) {
            out.writeInt(occurrence.number());
            out.writeShort(step.id().step());
            out.writeShort(i);
            out.writeByte(Math.min(history.crashes(), 255));
            out.writeByte(Math.min(history.conclusive(), 255));
            out.writeLong(history.longestMillis());
          }
        }
      }
    }
  }

  private static void readCrashes(DataInputStream in, Job job) throws IOException {
    while (in.available() > 0) {
      StepId step = new StepId(job.submission().id(), in.readInt(), in.readUnsignedShort());
      TaskId task = new TaskId(step, in.readUnsignedShort());
      CrashHistory history =
          new CrashHistory(in.readUnsignedByte(), in.readUnsignedByte(), in.readLong());
      job.step(task)
          .orElseThrow(() -> new IOException("no task " + task))
          .tasks()
          .get(task.index())
          .setCrashHistory(history);
    }
  }

  /**
   * Decodes only the phase of a job.
   *
   * @param bytes encoded progress of the job
   * @return the phase
   * @throws RecordFormatException if the version or the phase is unknown
   */
  public static JobPhase readPhase(byte[] bytes) throws RecordFormatException {
    if (bytes.length < HEADER_BYTES
        || bytes[0] != VERSION
        || bytes[1] < 0
        || bytes[1] >= PHASES.size()) {
      throw RecordFormatException.unreadable("progress", -1, "unknown version or phase");
    }
    return PHASES.get(bytes[1]);
  }

  /**
   * Decodes the progress of a job.
   *
   * @param submission the submission of the job
   * @param bytes encoded progress of the job
   * @return the job with its progress
   * @throws RecordFormatException if the version or the phase is unknown, or the bytes do not match
   *     the submission
   */
  public static Job read(Submission submission, byte[] bytes) throws RecordFormatException {
    JobPhase phase = readPhase(bytes);
    Job job = new Job(submission);
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      in.skipNBytes(HEADER_BYTES);
      job.restore(phase, in.readInt());
      List<WorkerId> workers = new ArrayList<>();
      int workerCount = in.readUnsignedShort();
      for (int i = 0; i < workerCount; i++) {
        workers.add(new WorkerId(in.readUTF()));
      }
      int occurrenceCount = in.readUnsignedShort();
      for (int i = 0; i < occurrenceCount; i++) {
        Occurrence occurrence = job.restoreOccurrence(in.readInt());
        for (StepProgress step : occurrence.steps()) {
          read(in, step, workers);
        }
      }
      readCrashes(in, job);
      return job;
    } catch (IOException | IndexOutOfBoundsException e) {
      throw RecordFormatException.unreadable("progress", -1, submission.id() + ": " + e);
    }
  }

  private static void read(DataInputStream in, StepProgress step, List<WorkerId> workers)
      throws IOException {
    int count = in.readUnsignedShort();
    if (count != step.tasks().size()) {
      throw new IOException(
          "step " + step.id() + " has " + step.tasks().size() + " tasks, the record " + count);
    }
    String checkpoint = "";
    for (TaskProgress task : step.tasks()) {
      int flags = in.readUnsignedByte();
      int run = in.readUnsignedShort();
      int failures = in.readUnsignedByte();
      TaskProgress.State state = STATES.get(flags & 3);
      WorkerId worker =
          state == TaskProgress.State.ASSIGNED ? workers.get(in.readUnsignedShort()) : null;
      if ((flags & 4) != 0) {
        checkpoint = in.readUTF();
      }
      task.restore(state, run, failures, worker, checkpoint);
    }
  }
}
