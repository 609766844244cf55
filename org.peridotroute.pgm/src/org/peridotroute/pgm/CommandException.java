package org.peridotroute.pgm;

/** A command ends with a message and an exit code. */
public final class CommandException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int exitCode;

  /**
   * Creates the exception.
   *
   * @param exitCode the exit code
   * @param message what to tell
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
