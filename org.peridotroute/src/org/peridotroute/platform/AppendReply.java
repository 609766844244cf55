package org.peridotroute.platform;

/**
 * Answer to an append.
 *
 * @param firstOffset offset of the first record
 */
public record AppendReply(long firstOffset) {}
