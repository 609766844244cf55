package org.peridotroute.journal;

import org.peridotroute.lib.Incarnation;

/**
 * A log record with its writer and format version. Writer and sequence number identify the record,
 * so that a record appended twice takes effect only once.
 *
 * @param version version of the format, currently {@value #VERSION}
 * @param writer incarnation of the process that wrote the record
 * @param sequence sequence number, from 1, increasing with each record of the writer
 * @param timeMillis wall clock time of the writer; scheduling policy may use it, safety rules must
 *     not
 * @param record the record
 */
public record Envelope(
    int version, Incarnation writer, long sequence, long timeMillis, LogRecord record) {
  /** Version written by this code, and the latest version it can read. */
  public static final int VERSION = 1;
}
