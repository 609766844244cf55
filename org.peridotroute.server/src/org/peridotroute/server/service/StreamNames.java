package org.peridotroute.server.service;

/** Names of the streams on the platform's log. */
public final class StreamNames {
  /** Jobs, placements and what became of them. */
  public static final String JOURNAL = "journal";

  /** What operators declare. */
  public static final String CONFIG = "config";

  private StreamNames() {}
}
