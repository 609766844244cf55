/**
 * The control loops that act on the state: the planner and the gang driver, and the interfaces
 * through which they reach the log and the workers. Both are plain objects whose step methods take
 * the time as an argument, so that a process can run them on threads and a test on a virtual clock.
 */
package org.peridotroute.control;
