package org.peridotroute.scheduler.port;

/** Sink for log events. Never blocks. Thread-safe. */
@FunctionalInterface
public interface Events {
  /** Discards all events. */
  Events NONE = (level, name, fields) -> {};

  /**
   * Writes an event.
   *
   * @param level severity
   * @param name fixed name of the event
   * @param fields alternating field names and values
   */
  void write(System.Logger.Level level, String name, Object... fields);

  /**
   * Writes an event of level INFO.
   *
   * @param name fixed name of the event
   * @param fields alternating field names and values
   */
  default void info(String name, Object... fields) {
    write(System.Logger.Level.INFO, name, fields);
  }

  /**
   * Writes an event of level WARNING, which operators should investigate.
   *
   * @param name fixed name of the event
   * @param fields alternating field names and values
   */
  default void warn(String name, Object... fields) {
    write(System.Logger.Level.WARNING, name, fields);
  }
}
