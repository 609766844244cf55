package org.peridotroute.journal;

/**
 * A record read from the log.
 *
 * @param offset offset of the record in its stream, from 1
 * @param envelope the record and its writer
 */
public record LogEntry(long offset, Envelope envelope) {}
