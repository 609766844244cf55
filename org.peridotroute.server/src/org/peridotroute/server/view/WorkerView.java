package org.peridotroute.server.view;

import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.RackId;
import org.peridotroute.lib.WorkerId;

/**
 * A worker in the directory and the number of its free accelerators.
 *
 * @param name id of the worker
 * @param rack rack of the worker
 * @param place place of the worker
 * @param accelerators number of accelerators
 * @param free number of accelerators that no job holds
 * @param leaving whether the worker is about to leave
 */
public record WorkerView(
    WorkerId name, RackId rack, PlaceId place, int accelerators, long free, boolean leaving) {}
