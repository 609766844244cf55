package org.peridotroute.platform;

import java.util.List;

/**
 * Body of an append request.
 *
 * @param records the encoded records, in order
 */
public record AppendRequest(List<String> records) {
  /** Makes a defensive copy of the list. */
  public AppendRequest {
    records = List.copyOf(records);
  }
}
