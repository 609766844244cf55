package org.peridotroute.lib;

import java.util.List;

/**
 * Declaration of an organisation.
 *
 * @param guarantees the guaranteed shapes; defaults to none
 * @param description free text for operators; defaults to empty, at most {@value
 *     #MAX_DESCRIPTION_BYTES} bytes
 */
public record Organisation(List<GuaranteedShape> guarantees, String description) {
  /** Maximum size of a description in bytes, in UTF-8. */
  public static final int MAX_DESCRIPTION_BYTES = 1024;

  /** Maximum number of guaranteed shapes per organisation. */
  public static final int MAX_GUARANTEES = 64;

  /** Validates the fields and applies defaults. */
  public Organisation {
    guarantees = guarantees == null ? List.of() : List.copyOf(guarantees);
    Checks.range("organisation.guarantees.length", guarantees.size(), 0, MAX_GUARANTEES);
    description = description == null ? "" : description;
    Checks.maxBytes("organisation.description", description, MAX_DESCRIPTION_BYTES);
  }
}
