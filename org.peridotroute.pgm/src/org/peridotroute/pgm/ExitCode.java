package org.peridotroute.pgm;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

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

  /** Text of each exit code in the help of both programs, by code. */
  static final Map<Integer, String> DESCRIPTIONS =
      Collections.unmodifiableMap(
          new TreeMap<>(
              Map.of(
                  OK, "the command succeeded",
                  REFUSED, "the request was refused or failed, or a comparison found differences",
                  USAGE, "the command line, a file or the settings are invalid",
                  UNREACHABLE, "no usable response arrived, so the outcome may be unknown")));

  private ExitCode() {}
}
