/**
 * The duties that act on the folded state: the planner and the gang driver, with the ports through
 * which they reach the log and the workers. Duties are plain objects stepped from outside with the
 * time, so that a process runs them on threads and a test on a virtual clock.
 */
package org.peridotroute.control;
