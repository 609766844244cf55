package org.peridotroute.server.view;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * One page of a list.
 *
 * @param items the resources
 * @param revision revision of the listed state; a watch from it misses no change
 * @param next value of the "after" parameter for the next page, null on the last page
 * @param <T> type of the resources
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Page<T>(List<T> items, long revision, String next) {
  /** Makes a defensive copy of the list. */
  public Page {
    items = List.copyOf(items);
  }
}
