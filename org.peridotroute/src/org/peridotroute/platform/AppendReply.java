package org.peridotroute.platform;

/**
 * Reply to an append request.
 *
 * @param firstOffset offset of the first appended record
 */
public record AppendReply(long firstOffset) {}
