package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;

/** Validates a settings file without starting anything. */
@Command(name = "check", description = "validate a settings file")
public final class CheckCommand implements ConsoleCommand {
  @Option(name = "--settings", description = "settings file, JSON with comments")
  @Required
  private String file;

  @Override
  public int call(Console console) throws Exception {
    var unused = SettingsFile.read(Path.of(file));
    console.out().println(file + ": good");
    return ExitCode.OK;
  }
}
