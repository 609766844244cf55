package org.peridotroute.scheduler.node;

import org.peridotroute.scheduler.dispatch.GrantsEnd;
import org.peridotroute.scheduler.dispatch.Term;

/**
 * A stored claim of the planner role.
 *
 * @param term the term
 * @param claimedMillis steady time at which the claim was sent
 * @param grantsEnd when earlier planners stop extending leases
 */
record Election(Term term, long claimedMillis, GrantsEnd grantsEnd) {}
