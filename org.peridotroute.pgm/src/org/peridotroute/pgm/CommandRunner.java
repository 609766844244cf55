package org.peridotroute.pgm;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.PrintStream;

/** Parses a command line and runs the selected command. */
final class CommandRunner {
  private CommandRunner() {}

  static int run(Class<?> cliClass, Console console, String... arguments) {
    String[] parsed = arguments.length == 0 ? new String[] {"help"} : arguments;
    try {
      Object command = new Cli<>(cliClass).parse(parsed);
      if (command instanceof ConsoleCommand consoleCommand) {
        return consoleCommand.call(console);
      }
      ((Runnable) command).run();
      return ExitCode.OK;
    } catch (ParseException e) {
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
