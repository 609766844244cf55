package org.peridotroute.scheduler.conduct;

import java.util.Optional;

/**
 * What a later planner needs to know of a worker that was quarantined, as a short text.
 *
 * @param level number of quarantines that the length of the next one depends on
 * @param untilWallMillis wall-clock time at which the last quarantine ends
 */
public record SavedConduct(int level, long untilWallMillis) {
  /** Nothing is held against the worker. */
  public static final SavedConduct NONE = new SavedConduct(0, 0);

  private static final String SEPARATOR = "@";

  /** Returns the text to store, empty for a worker that was never quarantined. */
  public String toText() {
    return level == 0 ? "" : level + SEPARATOR + untilWallMillis;
  }

  /** Parses a stored text, or returns empty if it is malformed. */
  public static Optional<SavedConduct> read(String text) {
    int separator = text.indexOf(SEPARATOR);
    if (text.isEmpty()) {
      return Optional.of(NONE);
    }
    if (separator < 0) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new SavedConduct(
              Integer.parseInt(text.substring(0, separator)),
              Long.parseLong(text.substring(separator + 1))));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
