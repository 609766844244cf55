package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a job, unique within its organisation and chosen by the caller.
 *
 * @param value the name; 1 to 63 characters from a-z, 0-9 and '-', with no '-' at either end
 */
public record JobName(@JsonValue String value) implements Comparable<JobName> {
  /** Validates the name. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public JobName {
    Checks.name("job", value);
  }

  @Override
  public int compareTo(JobName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
