package org.peridotroute.pgm;

/** Exit codes of both binaries. */
public final class ExitCode {
  /** All went well. */
  public static final int OK = 0;

  /** The system refused, or there are differences. */
  public static final int REFUSED = 1;

  /** The command line, a file or the settings are wrong. */
  public static final int USAGE = 2;

  /** Nobody answered, so that the outcome may be unknown. */
  public static final int UNREACHABLE = 3;

  private ExitCode() {}
}
