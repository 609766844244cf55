/** Immutable value types of the scheduler: jobs, their steps and tasks, queues, and workers. */
package org.peridotroute.scheduler.model;
