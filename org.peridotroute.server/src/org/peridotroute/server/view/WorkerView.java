package org.peridotroute.server.view;

import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.RackId;
import org.peridotroute.lib.WorkerId;

/**
 * A worker as seen.
 *
 * @param name its name
 * @param rack its rack
 * @param place its place
 * @param accelerators how many it has
 * @param free how many are held by nobody
 * @param leaving whether it is about to leave
 */
public record WorkerView(
    WorkerId name, RackId rack, PlaceId place, int accelerators, long free, boolean leaving) {}
