package org.peridotroute.server.service;

import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.MDC;

/**
 * Builder of a structured log line that consists of a fixed name and fields. The JSON encoder
 * writes each field separately. Not thread-safe.
 */
public final class Event {
  private final String name;
  private final Map<String, String> fields = new LinkedHashMap<>();

  private Event(String name) {
    this.name = name;
  }

  /**
   * Creates an event without fields.
   *
   * @param name the event's name as listed in the operators' handbook
   * @return the event
   */
  public static Event of(String name) {
    return new Event(name);
  }

  /**
   * Adds a field. A null value is omitted.
   *
   * @param field the field's name
   * @param value the field's value, or null
   * @return this
   */
  public Event with(String field, Object value) {
    if (value != null) {
      fields.put(field, value.toString());
    }
    return this;
  }

  /**
   * Writes the event to a log.
   *
   * @param logger the log
   * @param level the severity
   */
  public void log(System.Logger logger, System.Logger.Level level) {
    fields.forEach(MDC::put);
    try {
      logger.log(level, name);
    } finally {
      fields.keySet().forEach(MDC::remove);
    }
  }
}
