/** Failover of real processes on loopback, which the bench's start script has started. */
package org.peridotroute.bench.failover;
