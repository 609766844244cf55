package org.peridotroute.bench.fuzz;

/**
 * A promise that was broken.
 *
 * @param promise which
 * @param step the step at which it was seen
 * @param detail what was seen
 */
public record Violation(Promise promise, long step, String detail) {}
