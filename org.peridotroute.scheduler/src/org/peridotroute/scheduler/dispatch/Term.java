package org.peridotroute.scheduler.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.peridotroute.scheduler.port.KeyedRecord;

/**
 * The term of one planner, as described by its claim record on the log.
 *
 * @param epoch offset of the claim record; later terms have greater epochs
 * @param holder VM that plans
 * @param incarnation incarnation of the process on that VM
 * @param sequence sequence number of the next append; the claim itself has the preceding one
 */
public record Term(long epoch, String holder, String incarnation, long sequence) {
  /** Key of the claim record in the progress topic. */
  public static final String KEY = "!planner";

  /**
   * Key of the record that names the term for which no planner of an earlier one extends leases any
   * more.
   */
  public static final String SETTLED_KEY = "!settled";

  /** Name of the planner role in fences of the log. */
  public static final String ROLE = "planner";

  private static final String SEPARATOR = " ";
  private static final int FIELD_COUNT = 4;
  private static final String RESIGNED_STATE = "left";

  /**
   * Returns the fencing token sent with calls to workers. It is greater than 0, which means no
   * token.
   */
  public long token() {
    return epoch + 1;
  }

  /** Returns the claim record, which also serves as a heartbeat. */
  public KeyedRecord record() {
    return record(ROLE);
  }

  /** Returns the record by which a planner resigns when it stops. */
  public KeyedRecord resignation() {
    return record(RESIGNED_STATE);
  }

  /** Returns the record that says that no planner of an earlier term extends leases any more. */
  KeyedRecord settledRecord() {
    return KeyedRecord.of(SETTLED_KEY, Long.toString(epoch).getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Parses the epoch of a settled term.
   *
   * @param value value of the record
   * @return the epoch, or empty if the value is malformed
   */
  public static OptionalLong readSettled(byte[] value) {
    try {
      return OptionalLong.of(Long.parseLong(new String(value, StandardCharsets.UTF_8)));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private KeyedRecord record(String state) {
    String text = String.join(SEPARATOR, Long.toString(epoch), holder, incarnation, state);
    return KeyedRecord.of(KEY, text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * A claim read from the log.
   *
   * @param term the claimed term
   * @param resigned whether the planner has resigned
   */
  public record Claim(Term term, boolean resigned) {}

  /**
   * Parses a claim record.
   *
   * @param value value of the record
   * @return the claim, or empty if the value is malformed
   */
  public static Optional<Claim> read(byte[] value) {
    String[] fields = new String(value, StandardCharsets.UTF_8).split(SEPARATOR, -1);
    if (fields.length != FIELD_COUNT) {
      return Optional.empty();
    }
    try {
      Term term = new Term(Long.parseLong(fields[0]), fields[1], fields[2], 0);
      return Optional.of(new Claim(term, fields[3].equals(RESIGNED_STATE)));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
