/**
 * Soak of entry VMs as real processes against stand-ins of the store and the workers, with faults
 * that overlap and an oracle on the side of the workers.
 */
package org.peridotroute.bench.soak;
