package org.peridotroute.scheduler.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.lib.HostPort;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.conduct.SavedConduct;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.port.KeyedRecord;

/**
 * What a planner knew of a worker when it assigned runs to it. A successor that no longer finds the
 * worker in the list can still ask it, and tell whether it has restarted since.
 *
 * @param id the worker
 * @param address host and port that it listens on
 * @param startedAtMillis start of its incarnation on the worker's wall clock, 0 if unknown
 * @param draining whether it had announced that it leaves
 * @param conduct its quarantines
 * @param silentLeaseMillis if it did not reply, the longest time from when the record was sent to
 *     the log that any of its leases lasts, since none is extended until another record is stored;
 *     -1 if it replied
 */
public record WorkerRecord(
    WorkerId id,
    HostPort address,
    long startedAtMillis,
    boolean draining,
    SavedConduct conduct,
    long silentLeaseMillis) {
  private static final String KEY_PREFIX = "!worker/";
  private static final String SEPARATOR = " ";
  private static final int FIELD_COUNT = 3;
  private static final int SILENT_FIELD = 4;

  /** Value of {@link #silentLeaseMillis} of a worker that replied. */
  static final long REPLIES = -1;

  /** Returns the record of a worker as it is known now. */
  static WorkerRecord of(WorkerState worker) {
    return new WorkerRecord(
        worker.id(),
        worker.info().address(),
        Math.max(0, worker.startedAtMillis()),
        worker.info().draining(),
        worker.restraint().saved(),
        worker.leaseHold().isHeld() ? worker.leaseHold().heldLeaseMillis() : REPLIES);
  }

  /** Returns whether the worker did not reply. */
  boolean isSilent() {
    return silentLeaseMillis >= 0;
  }

  /** Returns the record to store. */
  KeyedRecord toRecord() {
    String text =
        String.join(
            SEPARATOR,
            address.toString(),
            Long.toString(startedAtMillis),
            Boolean.toString(draining));
    if (isSilent() || !conduct.equals(SavedConduct.NONE)) {
      text += SEPARATOR + conduct.toText();
    }
    if (isSilent()) {
      text += SEPARATOR + silentLeaseMillis;
    }
    return KeyedRecord.of(KEY_PREFIX + id, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the record that deletes what is stored of a worker. */
  static KeyedRecord deletion(WorkerId id) {
    return KeyedRecord.of(KEY_PREFIX + id, null);
  }

  /**
   * Returns the worker that a record concerns.
   *
   * @param key key of the record
   * @return the worker, or empty if the record is of another kind
   */
  public static Optional<WorkerId> worker(String key) {
    return key.startsWith(KEY_PREFIX) && key.length() > KEY_PREFIX.length()
        ? Optional.of(new WorkerId(key.substring(KEY_PREFIX.length())))
        : Optional.empty();
  }

  /**
   * Parses a stored record.
   *
   * @param id the worker
   * @param value value of the record
   * @return the record, or empty if the value is malformed
   */
  public static Optional<WorkerRecord> read(WorkerId id, byte[] value) {
    String[] fields = new String(value, StandardCharsets.UTF_8).split(SEPARATOR, -1);
    if (fields.length < FIELD_COUNT) {
      return Optional.empty();
    }
    try {
      // A conduct that cannot be read must not lose the address.
      SavedConduct conduct =
          fields.length > FIELD_COUNT
              ? SavedConduct.read(fields[FIELD_COUNT]).orElse(SavedConduct.NONE)
              : SavedConduct.NONE;
      return Optional.of(
          new WorkerRecord(
              id,
              HostPort.parse(fields[0]),
              Long.parseLong(fields[1]),
              Boolean.parseBoolean(fields[2]),
              conduct,
              fields.length > SILENT_FIELD ? parseLeaseMillis(fields[SILENT_FIELD]) : REPLIES));
    } catch (NumberFormatException | InvalidValueException e) {
      return Optional.empty();
    }
  }

  /** Parses the silence of a worker. One that cannot be read must not lose the address. */
  private static long parseLeaseMillis(String text) {
    try {
      return Math.max(0, Long.parseLong(text));
    } catch (NumberFormatException e) {
      return REPLIES;
    }
  }

  /** Returns a description for calls to a worker that is not listed. It offers no capacity. */
  WorkerInfo toInfo() {
    return new WorkerInfo(
        id, "", address, "", "", List.of(), Capacity.NONE, draining, 0, startedAtMillis, 0);
  }
}
