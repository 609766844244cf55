package org.peridotroute.platform;

import java.util.List;

/**
 * Body of an append.
 *
 * @param records texts of the records, in order
 */
public record AppendRequest(List<String> records) {
  /** Copies the list. */
  public AppendRequest {
    records = List.copyOf(records);
  }
}
