package org.peridotroute.scheduler.conduct;

import org.peridotroute.lib.WorkerId;

/**
 * A change of the conduct of a worker.
 *
 * @param worker the worker
 * @param from the state before
 * @param conduct the conduct now
 * @param evidence what has caused the change
 */
public record ConductChange(
    WorkerId worker, ConductState from, WorkerConduct conduct, String evidence) {}
