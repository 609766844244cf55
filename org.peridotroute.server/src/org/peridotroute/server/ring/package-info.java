/** Bounded rings that join one thread's duty to the next, on LMAX Disruptor. */
package org.peridotroute.server.ring;
