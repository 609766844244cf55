package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a worker, given by the platform.
 *
 * @param value the name; 1 to 63 of a-z, 0-9 and '-'
 */
public record WorkerId(@JsonValue String value) implements Comparable<WorkerId> {
  /** Checks the name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public WorkerId {
    Checks.name("worker", value);
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
