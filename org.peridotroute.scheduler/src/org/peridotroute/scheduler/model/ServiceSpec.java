package org.peridotroute.scheduler.model;

/**
 * A service: a pool of like workers.
 *
 * @param name its name
 * @param enforcesCapacity whether its workers reject what does not fit
 * @param standby whether its machines are off
 */
public record ServiceSpec(String name, boolean enforcesCapacity, boolean standby) {}
