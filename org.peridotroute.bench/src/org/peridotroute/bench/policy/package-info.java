/**
 * Replays job traces with placement policies on virtual time. The job state is computed by the
 * production fold; workers are modelled only by the run time of their jobs. Begin with {@link
 * org.peridotroute.bench.policy.Replay}.
 */
package org.peridotroute.bench.policy;
