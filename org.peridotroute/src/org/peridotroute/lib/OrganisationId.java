package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an organisation, chosen by an operator.
 *
 * @param value the name; 1 to 63 characters from a-z, 0-9 and '-', with no '-' at either end
 */
public record OrganisationId(@JsonValue String value) implements Comparable<OrganisationId> {
  /** Validates the name. */
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
