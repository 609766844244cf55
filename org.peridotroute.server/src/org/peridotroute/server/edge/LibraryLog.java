package org.peridotroute.server.edge;

import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/** Writes what libraries and {@link System.Logger} log to the event log, as JSON lines like it. */
public final class LibraryLog extends Handler {
  private static final SimpleFormatter FORMATTER = new SimpleFormatter();

  /** Kept here because the log manager holds loggers, and their levels, by weak references only. */
  private static final List<Logger> LIBRARIES =
      List.of(
          Logger.getLogger("io.undertow"),
          Logger.getLogger("org.xnio"),
          Logger.getLogger("org.jboss"));

  private final EventLog events;

  private LibraryLog(EventLog events) {
    this.events = events;
  }

  /**
   * Replaces the handlers of the root logger.
   *
   * @param events receives each message of level INFO and above; of HTTP libraries, WARNING
   */
  public static void install(EventLog events) {
    LogManager.getLogManager().reset();
    Logger root = Logger.getLogger("");
    root.setLevel(Level.INFO);
    root.addHandler(new LibraryLog(events));
    LIBRARIES.forEach(library -> library.setLevel(Level.WARNING));
  }

  @Override
  public void publish(LogRecord record) {
    events.write(
        toSystemLevel(record.getLevel()),
        "library-message",
        "logger",
        record.getLoggerName(),
        "message",
        FORMATTER.formatMessage(record),
        "cause",
        String.valueOf(record.getThrown()));
  }

  private static System.Logger.Level toSystemLevel(Level level) {
    if (level.intValue() >= Level.SEVERE.intValue()) {
      return System.Logger.Level.ERROR;
    }
    return level.intValue() >= Level.WARNING.intValue()
        ? System.Logger.Level.WARNING
        : System.Logger.Level.INFO;
  }

  @Override
  public void flush() {
    // The event log writes on its own thread.
  }

  @Override
  public void close() {
    // The event log is stopped by the process.
  }
}
