package org.peridotroute.server.view;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * Part of a list.
 *
 * @param items the resources
 * @param revision the revision of the state that was listed; watches begin there
 * @param next what to ask for to get the next part, null at the end
 * @param <T> the kind of resource
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Page<T>(List<T> items, long revision, String next) {
  /** Copies the list. */
  public Page {
    items = List.copyOf(items);
  }
}
