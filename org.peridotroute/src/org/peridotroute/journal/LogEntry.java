package org.peridotroute.journal;

/**
 * A record as read from the log.
 *
 * @param offset its offset in the stream, from 1
 * @param envelope the record and who wrote it
 */
public record LogEntry(long offset, Envelope envelope) {}
