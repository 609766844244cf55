package org.peridotroute.pgm;

/** Exit codes of both programs. */
public final class ExitCode {
  /** The command succeeded. */
  public static final int OK = 0;

  /** The request was refused or failed, or a comparison found differences. */
  public static final int REFUSED = 1;

  /** The command line, a file or the settings are invalid. */
  public static final int USAGE = 2;

  /** No usable response arrived, so the outcome may be unknown. */
  public static final int UNREACHABLE = 3;

  private ExitCode() {}
}
