package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;

/** Entry point of {@code peridotctl}, the command line client for operators and callers. */
@Cli(
    name = "peridotctl",
    description = "operates peridotroute and submits jobs to it",
    defaultCommand = Help.class,
    commands = {
      Help.class,
      ApplyCommand.class,
      DiffCommand.class,
      SubmitCommand.class,
      GetCommand.class,
      ListCommand.class,
      WatchCommand.class,
      AnswerCommand.class,
      CancelCommand.class,
      DumpCommand.class,
      ExplainCommand.class,
      SettingsSchemaCommand.class
    },
    groups =
        @Group(
            name = "config",
            description = "current configuration",
            defaultCommand = ConfigStatusCommand.class,
            commands = {ConfigStatusCommand.class}))
public final class PeridotctlMain {
  private PeridotctlMain() {}

  /**
   * Runs a command and exits with its code.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    System.exit(run(Console.SYSTEM, arguments));
  }

  /**
   * Runs a command.
   *
   * @param console the output streams
   * @param arguments the command line
   * @return the exit code
   */
  public static int run(Console console, String... arguments) {
    return CommandRunner.run(PeridotctlMain.class, console, arguments);
  }
}
