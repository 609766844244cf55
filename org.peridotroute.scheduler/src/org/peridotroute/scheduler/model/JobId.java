package org.peridotroute.scheduler.model;

import java.util.regex.Pattern;
import org.peridotroute.errors.InvalidValueException;

/**
 * Identity of a job. The caller chooses it, which makes submissions idempotent.
 *
 * @param value 16 hexadecimal digits
 */
public record JobId(String value) implements Comparable<JobId> {
  private static final Pattern FORMAT = Pattern.compile("[0-9a-fA-F]{16}");

  /** Checks the format. */
  public JobId {
    if (value == null || !FORMAT.matcher(value).matches()) {
      throw InvalidValueException.name("job", String.valueOf(value));
    }
  }

  /**
   * Returns whether a text has the format of a job id.
   *
   * @param text the text
   * @return whether it is 16 hexadecimal digits
   */
  public static boolean isValid(String text) {
    return FORMAT.matcher(text).matches();
  }

  // Key of maps: the methods that the compiler generates for records are linked at their first
  // call,
  // which takes some milliseconds of a process's start for each record.
  @Override
  public boolean equals(Object object) {
    return object instanceof JobId other && value.equals(other.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
