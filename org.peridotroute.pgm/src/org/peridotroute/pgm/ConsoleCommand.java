package org.peridotroute.pgm;

/** A command of either binary. Made by the command line parser, called once. */
public interface ConsoleCommand {
  /**
   * Runs the command.
   *
   * @param console where to write to
   * @return the exit code
   * @throws Exception a {@link CommandException}, or a fault
   */
  int call(Console console) throws Exception;
}
