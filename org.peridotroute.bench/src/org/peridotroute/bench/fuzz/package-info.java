/**
 * Stateful fuzzing of the scheduler on virtual time: several VMs, the stand-in log and workers,
 * injected faults at every interface, and an oracle that checks the invariants. Begin with {@link
 * org.peridotroute.bench.fuzz.FuzzCluster}.
 */
package org.peridotroute.bench.fuzz;
