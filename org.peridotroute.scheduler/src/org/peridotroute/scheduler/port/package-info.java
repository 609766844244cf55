/**
 * Interfaces through which the scheduler reaches external systems: a keyed log, workers, clocks and
 * a sink for log events. Implementations report failures as outcome values; their futures never
 * complete exceptionally.
 */
package org.peridotroute.scheduler.port;
