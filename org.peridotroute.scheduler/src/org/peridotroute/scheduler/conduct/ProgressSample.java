package org.peridotroute.scheduler.conduct;

import org.peridotroute.lib.WorkerId;

/**
 * Progress of a run that is under way and outside any gang.
 *
 * @param run identity of the run
 * @param worker its worker
 * @param queue its queue
 * @param job its job
 * @param percent its progress
 * @param seenMillis steady time at which the worker reported it
 * @param expectedMillis expected duration of a whole run on a worker of usual speed
 */
public record ProgressSample(
    Object run,
    WorkerId worker,
    String queue,
    String job,
    int percent,
    long seenMillis,
    long expectedMillis) {}
