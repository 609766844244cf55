package org.peridotroute.fold;

import org.pcollections.TreePMap;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;

/**
 * State of the configuration stream as of one offset. Immutable, built on persistent collections.
 *
 * @param offset offset of the last record applied, 0 before the first
 * @param organisations declared organisations
 * @param writers last sequence number of each writer
 */
public record ConfigState(
    long offset,
    TreePMap<OrganisationId, DeclaredOrganisation> organisations,
    WriterSequences writers) {
  /** State before the first record. */
  public static final ConfigState EMPTY =
      new ConfigState(0, TreePMap.empty(), WriterSequences.EMPTY);

  /**
   * Returns a copy with an organisation added or replaced, used to validate a declaration before it
   * is appended to the log.
   *
   * @param id the organisation
   * @param organisation the declaration
   * @return the copy, at the same offset
   */
  public ConfigState withOrganisation(OrganisationId id, Organisation organisation) {
    return new ConfigState(
        offset, organisations.plus(id, new DeclaredOrganisation(organisation, offset)), writers);
  }

  /**
   * An organisation and the revision of its declaration.
   *
   * @param organisation the declaration
   * @param revision offset of the record that last declared it
   */
  public record DeclaredOrganisation(Organisation organisation, long revision) {}
}
