package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a worker, assigned by the platform.
 *
 * @param value the name; 1 to 63 characters from a-z, 0-9 and '-', with no '-' at either end
 */
public record WorkerId(@JsonValue String value) implements Comparable<WorkerId> {
  /** Validates the name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public WorkerId {
    Checks.name("worker", value);
  }

  // Key of maps: the methods that the compiler generates for records are linked at their first
  // call,
  // which takes some milliseconds of a process's start for each record.
  @Override
  public boolean equals(Object object) {
    return object instanceof WorkerId other && value.equals(other.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public int compareTo(WorkerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
