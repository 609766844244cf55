package org.peridotroute.pgm;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out stream for results
 * @param err stream for error messages
 */
public record Console(PrintStream out, PrintStream err) {
  /** Standard output and standard error of the process. */
  public static final Console SYSTEM = new Console(System.out, System.err);
}
