package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an organisation, chosen by operators.
 *
 * @param value the name; 1 to 63 of a-z, 0-9 and '-'
 */
public record OrganisationId(@JsonValue String value) implements Comparable<OrganisationId> {
  /** Checks the name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public OrganisationId {
    Checks.name("organisation", value);
  }

  @Override
  public int compareTo(OrganisationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
