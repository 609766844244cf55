package org.peridotroute.server.view;

import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;

/**
 * A declared organisation, as returned by the resource API.
 *
 * @param name id of the organisation
 * @param revision offset of the record that last declared it
 * @param spec its guarantees and description
 */
public record OrganisationView(OrganisationId name, long revision, Organisation spec) {}
