package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a place (a data centre), given by settings and by the platform.
 *
 * @param value the name; 1 to 63 of a-z, 0-9 and '-'
 */
public record PlaceId(@JsonValue String value) implements Comparable<PlaceId> {
  /** Checks the name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public PlaceId {
    Checks.name("place", value);
  }

  @Override
  public int compareTo(PlaceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
