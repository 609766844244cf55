package org.peridotroute.fold;

import org.pcollections.TreePMap;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;

/**
 * All that the configuration stream says, up to one offset. Immutable and persistent.
 *
 * @param offset offset of the last record folded, 0 before the first
 * @param organisations declared organisations
 * @param writers how far each writer has come
 */
public record ConfigState(
    long offset,
    TreePMap<OrganisationId, DeclaredOrganisation> organisations,
    WriterSequences writers) {
  /** The state before the first record. */
  public static final ConfigState EMPTY =
      new ConfigState(0, TreePMap.empty(), WriterSequences.EMPTY);

  /**
   * Returns this configuration as it would be with one more declaration, for checks.
   *
   * @param id the organisation
   * @param organisation the declaration
   * @return the configuration, with the same offset
   */
  public ConfigState withOrganisation(OrganisationId id, Organisation organisation) {
    return new ConfigState(
        offset, organisations.plus(id, new DeclaredOrganisation(organisation, offset)), writers);
  }

  /**
   * An organisation with the revision of its declaration.
   *
   * @param organisation the declaration
   * @param revision offset of the record that declared it
   */
  public record DeclaredOrganisation(Organisation organisation, long revision) {}
}
