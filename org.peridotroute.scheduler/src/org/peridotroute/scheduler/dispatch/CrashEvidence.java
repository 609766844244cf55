package org.peridotroute.scheduler.dispatch;

/**
 * Circumstances under which a run was lost with its worker.
 *
 * @param ageMillis time from sending the start to the moment at which the worker stopped replying
 * @param otherJobs number of other jobs with runs on the worker
 * @param othersSilent number of workers without runs of the job that stopped replying at about the
 *     same time
 */
record CrashEvidence(long ageMillis, int otherJobs, int othersSilent) {}
