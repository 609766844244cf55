package org.peridotroute.server.service;

import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.MDC;

/**
 * One structured log line in the making: a short fixed name and fields, which the JSON encoder
 * writes as fields of their own. Used by one thread.
 */
public final class Event {
  private final String name;
  private final Map<String, String> fields = new LinkedHashMap<>();

  private Event(String name) {
    this.name = name;
  }

  /**
   * Begins a line.
   *
   * @param name the event's name, as the operators' handbook lists it
   * @return the line
   */
  public static Event of(String name) {
    return new Event(name);
  }

  /**
   * Adds a field. A null is left out.
   *
   * @param field its name
   * @param value its value
   * @return this
   */
  public Event with(String field, Object value) {
    if (value != null) {
      fields.put(field, value.toString());
    }
    return this;
  }

  /**
   * Writes the line.
   *
   * @param logger where to
   * @param level how grave it is
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
