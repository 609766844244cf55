package org.peridotroute.platform;

/**
 * Answer to a read of records that are past retention, with status 410.
 *
 * @param earliestOffset earliest offset that the stream still keeps
 */
public record ExpiredReply(long earliestOffset) {}
