package org.peridotroute.server.view;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * Changes after a revision.
 *
 * @param events the changes, oldest first
 * @param revision revision from which to continue the watch
 * @param <T> type of the resources
 */
public record WatchView<T>(List<Change<T>> events, long revision) {
  /** Makes a defensive copy of the list. */
  public WatchView {
    events = List.copyOf(events);
  }

  /**
   * A change of a resource.
   *
   * @param revision offset of the record that changed the resource
   * @param name name of the resource
   * @param resource the resource after the change, null if it was removed
   * @param <T> type of the resource
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Change<T>(long revision, String name, T resource) {}
}
