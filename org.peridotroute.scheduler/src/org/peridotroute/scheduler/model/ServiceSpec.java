package org.peridotroute.scheduler.model;

/**
 * A service: a pool of workers of the same kind.
 *
 * @param name name of the service
 * @param enforcesCapacity whether its workers reject tasks that exceed their capacity
 * @param standby whether its workers are powered off
 */
public record ServiceSpec(String name, boolean enforcesCapacity, boolean standby) {}
