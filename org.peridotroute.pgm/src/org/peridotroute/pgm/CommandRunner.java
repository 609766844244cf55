package org.peridotroute.pgm;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.PrintStream;
import java.util.List;
import org.peridotroute.server.settings.SettingsException;

/** Parses a command line and runs the selected command. */
final class CommandRunner {
  private CommandRunner() {}

  static int run(Class<?> cliClass, Console console, String... arguments) {
    try {
      Cli<ConsoleCommand> cli = new Cli<>(cliClass);
      CommandLine commandLine = CommandLine.of(cli.getMetadata(), List.of(arguments));
      if (commandLine.isHelpRequested()) {
        commandLine.printHelp(console.out());
        return ExitCode.OK;
      }
      return cli.parse(arguments).call(console);
    } catch (ParseException | SettingsException e) {
      return fail(console.err(), ExitCode.USAGE, e.getMessage());
    } catch (CommandException e) {
      return fail(console.err(), e.exitCode(), e.getMessage());
    } catch (Exception e) {
      return fail(console.err(), ExitCode.REFUSED, e.toString());
    }
  }

  private static int fail(PrintStream err, int exitCode, String message) {
    err.println(message);
    return exitCode;
  }
}
