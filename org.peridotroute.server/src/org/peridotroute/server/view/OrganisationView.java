package org.peridotroute.server.view;

import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;

/**
 * An organisation as operators see it.
 *
 * @param name its name
 * @param revision offset of the record that declared it
 * @param spec the declaration
 */
public record OrganisationView(OrganisationId name, long revision, Organisation spec) {}
