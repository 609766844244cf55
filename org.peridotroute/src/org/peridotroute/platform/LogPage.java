package org.peridotroute.platform;

import java.util.List;

/**
 * Records returned by one read.
 *
 * @param firstOffset offset of the first record; the others follow without gaps
 * @param records the encoded records; empty if there is none yet
 * @param earliestOffset earliest offset that the stream still retains
 * @param endOffset offset of the next record to be appended
 */
public record LogPage(long firstOffset, List<String> records, long earliestOffset, long endOffset) {
  /** Makes a defensive copy of the list. */
  public LogPage {
    records = List.copyOf(records);
  }
}
