/** Measures failover with VM processes against a stand-in platform on loopback. */
package org.peridotroute.bench.failover;
