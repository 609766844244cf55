package org.peridotroute.pgm;

/** A command of either program. Created by the command line parser and called once. */
public interface ConsoleCommand {
  /**
   * Runs the command.
   *
   * @param console the output streams
   * @return the exit code
   * @throws Exception a {@link CommandException}, or any unexpected exception
   */
  int call(Console console) throws Exception;
}
