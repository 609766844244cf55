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
import org.peridotroute.scheduler.model.Submission;

/**
 * Binary form of a job's progress on the log. The first two bytes, version and phase, can be read
 * alone. Stateless.
 */
public final class ProgressCodec {
  private static final int VERSION = 1;
  private static final int HEADER_BYTES = 2;

  /** Phases and states by their number on the log; new ones go to the end. */
  private static final List<JobPhase> PHASES =
      List.of(
          JobPhase.PENDING,
          JobPhase.RUNNING,
          JobPhase.COMPLETED,
          JobPhase.FAILED,
          JobPhase.CANCELLED);

  private static final List<TaskProgress.State> STATES =
      List.of(TaskProgress.State.WAITING, TaskProgress.State.ASSIGNED, TaskProgress.State.DONE);

  private ProgressCodec() {}

  /**
   * Writes a job's progress.
   *
   * @param job the job
   * @return its bytes
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
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
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
      boolean saved = !task.checkpoint().equals(previous);
      int flags = STATES.indexOf(task.state()) | (saved ? 4 : 0);
      out.writeByte(flags);
      out.writeShort(task.run());
      out.writeByte(Math.min(task.failures(), 255));
      if (task.state() == TaskProgress.State.ASSIGNED) {
        out.writeShort(workers.indexOf(task.worker().value()));
      }
      if (saved) {
        out.writeUTF(task.checkpoint());
        previous = task.checkpoint();
      }
    }
  }

  /**
   * Reads the phase alone.
   *
   * @param bytes a job's progress
   * @return the phase
   * @throws RecordFormatException if the bytes are not of a known version
   */
  public static JobPhase readPhase(byte[] bytes) throws RecordFormatException {
    if (bytes.length < HEADER_BYTES || bytes[0] != VERSION || bytes[1] >= PHASES.size()) {
      throw RecordFormatException.unreadable("progress", -1, "unknown version");
    }
    return PHASES.get(bytes[1]);
  }

  /**
   * Reads a job's progress.
   *
   * @param submission what was accepted
   * @param bytes its progress
   * @return the job
   * @throws RecordFormatException if the bytes do not fit the submission
   */
  public static Job read(Submission submission, byte[] bytes) throws RecordFormatException {
    JobPhase phase = readPhase(bytes);
    Job job = new Job(submission);
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      in.skipNBytes(HEADER_BYTES);
      job.restore(phase, in.readInt());
      List<WorkerId> workers = new ArrayList<>();
      int names = in.readUnsignedShort();
      for (int i = 0; i < names; i++) {
        workers.add(new WorkerId(in.readUTF()));
      }
      int occurrences = in.readUnsignedShort();
      for (int i = 0; i < occurrences; i++) {
        Occurrence occurrence = job.restoreOccurrence(in.readInt());
        for (StepProgress step : occurrence.steps()) {
          read(in, step, workers);
        }
      }
      return job;
    } catch (IOException | IndexOutOfBoundsException e) {
      throw RecordFormatException.unreadable("progress", -1, submission.id() + ": " + e);
    }
  }

  private static void read(DataInputStream in, StepProgress step, List<WorkerId> workers)
      throws IOException {
    int count = in.readUnsignedShort();
    if (count != step.tasks().size()) {
      throw new IOException("step " + step.id() + " has another number of tasks");
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
