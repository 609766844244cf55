package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One run of the process on a VM. A restarted process has another incarnation.
 *
 * @param value the name; 1 to 63 of a-z, 0-9 and '-'
 */
public record Incarnation(@JsonValue String value) implements Comparable<Incarnation> {
  /** Checks the name. */
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
