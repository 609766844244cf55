package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a rack, assigned by the platform.
 *
 * @param value the name; 1 to 63 characters from a-z, 0-9 and '-', with no '-' at either end
 */
public record RackId(@JsonValue String value) implements Comparable<RackId> {
  /** Validates the name. */
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
