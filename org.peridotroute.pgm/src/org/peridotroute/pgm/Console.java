package org.peridotroute.pgm;

import java.io.PrintStream;

/**
 * Where a command writes to.
 *
 * @param out what was asked for
 * @param err what went wrong
 */
public record Console(PrintStream out, PrintStream err) {
  /** The process's own streams. */
  public static final Console SYSTEM = new Console(System.out, System.err);
}
