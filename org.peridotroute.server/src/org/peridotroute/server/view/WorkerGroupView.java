package org.peridotroute.server.view;

/**
 * Totals over the workers of a rack or place.
 *
 * @param name name of the rack or place
 * @param workers number of workers
 * @param accelerators number of accelerators of these workers
 * @param free number of accelerators that no job holds
 */
public record WorkerGroupView(String name, int workers, int accelerators, long free) {}
