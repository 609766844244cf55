/** Threads fed by bounded ring buffers, built on LMAX Disruptor. */
package org.peridotroute.server.ring;
