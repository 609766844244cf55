package org.peridotroute.platform;

import java.util.List;

/**
 * Records read in one go.
 *
 * @param firstOffset offset of the first record; the others follow without gaps
 * @param records their texts; empty where there is none yet
 * @param earliestOffset earliest offset that the stream still keeps
 * @param endOffset offset that the next appended record will get
 */
public record LogPage(long firstOffset, List<String> records, long earliestOffset, long endOffset) {
  /** Copies the list. */
  public LogPage {
    records = List.copyOf(records);
  }
}
