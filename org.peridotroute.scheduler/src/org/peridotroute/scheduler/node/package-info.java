/**
 * A VM of the scheduler: follows the log, accepts requests, and may hold the planner role. Except
 * for reads of published state, everything runs on the control thread.
 */
package org.peridotroute.scheduler.node;
