package org.peridotroute.server.service;

/** Names of the streams on the platform's log. */
public final class StreamNames {
  /** Stream of job submissions, placements and results. */
  public static final String JOURNAL = "journal";

  /** Stream of the configuration that operators declare. */
  public static final String CONFIG = "config";

  private StreamNames() {}
}
