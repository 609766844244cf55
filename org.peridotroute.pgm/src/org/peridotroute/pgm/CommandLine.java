package org.peridotroute.pgm;

import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.CommandGroupMetadata;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.model.OptionMetadata;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Finds out which command a command line names and whether it asks for help. The parser alone does
 * not suffice: it takes an unknown command for an argument of the default command, and an unknown
 * option for an argument of any command that has one. Immutable.
 */
final class CommandLine {
  private static final Set<String> HELP_OPTIONS = Set.of("--help", "-h");
  private static final String HELP_COMMAND = "help";
  private static final String END_OF_OPTIONS = "--";

  private final GlobalMetadata<?> program;
  private final List<String> commandNames;
  private final boolean helpRequested;

  private CommandLine(GlobalMetadata<?> program, List<String> commandNames, boolean helpRequested) {
    this.program = program;
    this.commandNames = List.copyOf(commandNames);
    this.helpRequested = helpRequested;
  }

  /**
   * Analyses a command line.
   *
   * @param program metadata of the program
   * @param arguments the command line
   * @return the command line
   * @throws CommandException if it names an unknown command or option
   */
  static CommandLine of(GlobalMetadata<?> program, List<String> arguments) throws CommandException {
    if (arguments.isEmpty()) {
      return new CommandLine(program, List.of(), true);
    }
    boolean helpCommand = arguments.get(0).equals(HELP_COMMAND);
    List<String> rest = helpCommand ? arguments.subList(1, arguments.size()) : arguments;
    List<String> names = new ArrayList<>();
    CommandMetadata command = null;
    CommandGroupMetadata group = null;
    while (command == null && names.size() < rest.size() && !isOption(rest.get(names.size()))) {
      String name = rest.get(names.size());
      command = find(group == null ? program.getDefaultGroupCommands() : group.getCommands(), name);
      if (command == null && group == null) {
        group = findGroup(program, name).orElseThrow(() -> unknown(program, "command", name));
      } else if (command == null) {
        throw unknown(program, "command", String.join(" ", names) + " " + name);
      }
      names.add(name);
    }
    if (command == null && group != null) {
      command = group.getDefaultCommand();
    }
    List<String> options = rest.subList(names.size(), rest.size());
    return new CommandLine(program, names, hasHelpOption(program, command, options) || helpCommand);
  }

  private static boolean isOption(String argument) {
    return argument.startsWith("-");
  }

  private static CommandMetadata find(List<CommandMetadata> commands, String name) {
    return commands.stream()
        .filter(command -> command.getName().equals(name))
        .findFirst()
        .orElse(null);
  }

  private static Optional<CommandGroupMetadata> findGroup(GlobalMetadata<?> program, String name) {
    return program.getCommandGroups().stream()
        .filter(group -> group.getName().equals(name))
        .findFirst();
  }

  private static CommandException unknown(GlobalMetadata<?> program, String kind, String name) {
    return new CommandException(
        ExitCode.USAGE, "unknown %s %s; see %s --help".formatted(kind, name, program.getName()));
  }

  /** Returns whether the arguments of a command contain a help option; checks all options. */
  private static boolean hasHelpOption(
      GlobalMetadata<?> program, CommandMetadata command, List<String> arguments)
      throws CommandException {
    boolean found = false;
    for (int i = 0; i < arguments.size(); i++) {
      String argument = arguments.get(i);
      if (argument.equals(END_OF_OPTIONS)) {
        break;
      }
      if (HELP_OPTIONS.contains(argument)) {
        found = true;
      } else if (isOption(argument)) {
        OptionMetadata option = findOption(command, argument);
        if (option == null) {
          throw unknown(program, "option", argument);
        }
        // The value of an option may look like an option itself.
        i += option.getOptions().contains(argument) ? option.getArity() : 0;
      }
    }
    return found;
  }

  /** Finds the option of an argument, which is its name alone or with a value attached. */
  private static OptionMetadata findOption(CommandMetadata command, String argument) {
    if (command == null) {
      return null;
    }
    String longName = argument.split("=", 2)[0];
    String shortName = argument.startsWith("--") ? longName : argument.substring(0, 2);
    return command.getAllOptions().stream()
        .filter(
            option ->
                option.getOptions().contains(argument)
                    || option.getOptions().contains(longName)
                    || option.getOptions().contains(shortName))
        .findFirst()
        .orElse(null);
  }

  /** Returns whether the command line asks for help. */
  boolean isHelpRequested() {
    return helpRequested;
  }

  /** Prints the help of the program or command that the command line names. */
  void printHelp(PrintStream out) throws IOException {
    Help.help(program, commandNames, out);
    out.println();
    out.println("Every level prints its help with --help or -h.");
    out.println();
    out.println("EXIT CODES");
    ExitCode.DESCRIPTIONS.forEach((code, text) -> out.println("        " + code + "  " + text));
  }
}
