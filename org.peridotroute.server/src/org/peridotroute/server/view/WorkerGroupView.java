package org.peridotroute.server.view;

/**
 * A rack or a place as seen.
 *
 * @param name its name
 * @param workers how many workers it has
 * @param accelerators how many accelerators they have
 * @param free how many of these are held by nobody
 */
public record WorkerGroupView(String name, int workers, int accelerators, long free) {}
