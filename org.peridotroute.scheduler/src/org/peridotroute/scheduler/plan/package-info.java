/**
 * Placement decisions: the order of the queue, which workers run which tasks, and which running
 * tasks are preempted. Everything is a pure function of an immutable view, without clocks or I/O.
 */
package org.peridotroute.scheduler.plan;
