/**
 * How much work waits, as the planner publishes it, and whether a further job can still be of use
 * to its caller. No class here does I/O.
 */
package org.peridotroute.scheduler.load;
