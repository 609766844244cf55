package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;

/** Entry point of {@code peridotroute}, the program that runs on an entry VM. */
@Cli(
    name = "peridotroute",
    description = "scheduler for multi-accelerator jobs under organisation guarantees",
    defaultCommand = Help.class,
    commands = {
      Help.class,
      ServeCommand.class,
      CheckCommand.class,
      DevCommand.class,
      EdgeCommand.class,
      PlatformCommand.class,
      SettingsSchemaCommand.class
    })
public final class PeridotrouteMain {
  private PeridotrouteMain() {}

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
    return CommandRunner.run(PeridotrouteMain.class, console, arguments);
  }
}
