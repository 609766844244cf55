package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one run of the process on a VM. Every restart creates a new incarnation.
 *
 * @param value the name; 1 to 63 characters from a-z, 0-9 and '-', with no '-' at either end
 */
public record Incarnation(@JsonValue String value) implements Comparable<Incarnation> {
  /** Validates the name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public Incarnation {
    Checks.name("incarnation", value);
  }

  @Override
  public int compareTo(Incarnation other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
