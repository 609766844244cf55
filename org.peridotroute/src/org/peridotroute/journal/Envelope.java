package org.peridotroute.journal;

import org.peridotroute.lib.Incarnation;

/**
 * A record with who wrote it. Writer and sequence identify the record, so that one that was
 * appended twice counts once.
 *
 * @param version version of the format, {@value #VERSION} at present
 * @param writer the run of the process that wrote it
 * @param sequence from 1, ascending with each record of the writer
 * @param timeMillis the writer's wall clock; policy may use it, safety never does
 * @param record the record
 */
public record Envelope(
    int version, Incarnation writer, long sequence, long timeMillis, LogRecord record) {
  /** The latest version that this code writes and reads. */
  public static final int VERSION = 1;
}
