package org.peridotroute.server.view;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * Changes since a revision.
 *
 * @param events the changes, the oldest first
 * @param revision the revision to watch from next
 * @param <T> the kind of resource
 */
public record WatchView<T>(List<Change<T>> events, long revision) {
  /** Copies the list. */
  public WatchView {
    events = List.copyOf(events);
  }

  /**
   * A resource after a change.
   *
   * @param revision offset of the record that changed it
   * @param name the resource's name
   * @param resource the resource, absent where it was removed
   * @param <T> the kind of resource
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Change<T>(long revision, String name, T resource) {}
}
