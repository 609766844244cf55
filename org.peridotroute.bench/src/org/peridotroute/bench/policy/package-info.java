/**
 * Replays lists of jobs through placement policies on virtual time, with the real fold and
 * stand-ins for workers that are no more than a run time. Begin with {@link
 * org.peridotroute.bench.policy.Replay}.
 */
package org.peridotroute.bench.policy;
