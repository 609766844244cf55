package org.peridotroute.scheduler.model;

import java.util.List;

/**
 * An organisation, as declared in the configuration.
 *
 * @param name name of the organisation
 * @param keys API keys that authenticate its callers
 * @param guaranteedAccelerators number of accelerators that its most urgent jobs can always get
 */
public record OrganisationAccess(String name, List<String> keys, long guaranteedAccelerators) {
  /** Makes an immutable copy of the keys. */
  public OrganisationAccess {
    keys = List.copyOf(keys);
  }
}
