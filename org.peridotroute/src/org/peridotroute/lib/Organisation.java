package org.peridotroute.lib;

import java.util.List;

/**
 * Declaration of an organisation.
 *
 * @param guarantees the shapes it can always have; empty where absent
 * @param description free text for operators; at most {@value #MAX_DESCRIPTION_BYTES} bytes
 */
public record Organisation(List<GuaranteedShape> guarantees, String description) {
  /** Most bytes of a description, in UTF-8. */
  public static final int MAX_DESCRIPTION_BYTES = 1024;

  /** Most kinds of shape guaranteed to one organisation. */
  public static final int MAX_GUARANTEES = 64;

  /** Checks the ranges and fills defaults in. */
  public Organisation {
    guarantees = guarantees == null ? List.of() : List.copyOf(guarantees);
    Checks.range("organisation.guarantees.length", guarantees.size(), 0, MAX_GUARANTEES);
    description = description == null ? "" : description;
    Checks.maxBytes("organisation.description", description, MAX_DESCRIPTION_BYTES);
  }
}
