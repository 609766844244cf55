package org.peridotroute.scheduler.node;

import org.peridotroute.scheduler.dispatch.Term;

/**
 * A stored claim of the planner role.
 *
 * @param term the term
 * @param claimedMillis steady time at which the claim was sent
 * @param grantsEndMillis steady time from which no planner of an earlier term extends leases
 */
record Election(Term term, long claimedMillis, long grantsEndMillis) {}
