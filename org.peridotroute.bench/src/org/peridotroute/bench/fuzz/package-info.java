/**
 * Stateful fuzzing of the duties on virtual time: several VMs, the stand-in log and workers, faults
 * at every interface, and an oracle of the eight promises. Begin with {@link
 * org.peridotroute.bench.fuzz.FuzzCluster}.
 */
package org.peridotroute.bench.fuzz;
