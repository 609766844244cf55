package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a place (data centre), assigned by the settings and by the platform.
 *
 * @param value the name; 1 to 63 characters from a-z, 0-9 and '-', with no '-' at either end
 */
public record PlaceId(@JsonValue String value) implements Comparable<PlaceId> {
  /** Validates the name. */
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
