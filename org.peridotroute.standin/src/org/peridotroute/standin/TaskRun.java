package org.peridotroute.standin;

import org.peridotroute.lib.JobKey;

/**
 * One start of a task, recorded so that tests can check which tasks really ran.
 *
 * @param job the job of the task
 * @param member index of the gang member, from 0
 * @param token fencing token of the attempt
 * @param startedMillis time of the start, as passed to the worker
 */
public record TaskRun(JobKey job, int member, long token, long startedMillis) {}
