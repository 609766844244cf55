package org.peridotroute.standin;

import org.peridotroute.lib.JobKey;

/**
 * One start of a task, kept so that tests can tell what really ran.
 *
 * @param job the job
 * @param member the member's number
 * @param token the attempt's token
 * @param startedMillis when it was started
 */
public record TaskRun(JobKey job, int member, long token, long startedMillis) {}
