package org.peridotroute.fold;

import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.VmId;

/**
 * Who plans.
 *
 * @param epoch offset of the claim
 * @param vm the VM
 * @param incarnation the run of the process there
 * @param renewedRevision offset of the last record that showed it alive
 */
public record PlannerClaim(long epoch, VmId vm, Incarnation incarnation, long renewedRevision) {}
