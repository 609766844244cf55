/**
 * The planner during one term: the known state of the workers, the calls to them, and the journal
 * that must store a decision before its calls are sent. Everything here is confined to the control
 * thread.
 */
package org.peridotroute.scheduler.dispatch;
