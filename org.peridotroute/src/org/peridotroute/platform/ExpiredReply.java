package org.peridotroute.platform;

/**
 * Reply to a read of records that are past retention, sent with status 410.
 *
 * @param earliestOffset earliest offset that the stream still retains
 */
public record ExpiredReply(long earliestOffset) {}
