package org.peridotroute.scheduler.model;

import java.util.List;

/**
 * An organisation, as declared in the configuration.
 *
 * @param name name of the organisation
 * @param keys API keys that authenticate its callers
 * @param guaranteedAccelerators number of accelerators that its most urgent jobs can always get
 * @param allowedRegions regions in which its tasks may run, empty for all
 */
public record OrganisationAccess(
    String name, List<String> keys, long guaranteedAccelerators, List<String> allowedRegions) {
  /** Makes immutable copies of the lists. */
  public OrganisationAccess {
    keys = List.copyOf(keys);
    allowedRegions = List.copyOf(allowedRegions);
  }
}
