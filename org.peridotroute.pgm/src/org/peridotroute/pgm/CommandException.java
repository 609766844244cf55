package org.peridotroute.pgm;

/** Ends a command with an error message and an exit code. */
public final class CommandException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int exitCode;

  /**
   * Creates the exception.
   *
   * @param exitCode the exit code, one of {@link ExitCode}
   * @param message the message to print to standard error
   */
  public CommandException(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Returns the exit code. */
  public int exitCode() {
    return exitCode;
  }
}
