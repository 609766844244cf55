package org.peridotroute.fold;

import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.VmId;

/**
 * The planner's claim to its role, valid until another claim replaces it.
 *
 * @param epoch the planner's epoch, which is the offset of its claim
 * @param vm VM on which the planner runs
 * @param incarnation incarnation of the planner's process
 * @param renewedRevision offset of the planner's last claim or renewal
 */
public record PlannerClaim(long epoch, VmId vm, Incarnation incarnation, long renewedRevision) {}
