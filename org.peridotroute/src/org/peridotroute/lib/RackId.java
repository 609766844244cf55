package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a rack, given by the platform.
 *
 * @param value the name; 1 to 63 of a-z, 0-9 and '-'
 */
public record RackId(@JsonValue String value) implements Comparable<RackId> {
  /** Checks the name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RackId {
    Checks.name("rack", value);
  }

  @Override
  public int compareTo(RackId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
