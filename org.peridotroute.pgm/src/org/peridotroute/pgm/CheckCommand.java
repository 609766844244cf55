package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;

/** Checks a file of settings and starts nothing. */
@Command(name = "check", description = "check a file of settings")
public final class CheckCommand implements ConsoleCommand {
  @Option(name = "--settings", description = "file of settings, JSON with comments")
  @Required
  private String file;

  @Override
  public int call(Console console) throws Exception {
    var unused = SettingsFile.read(Path.of(file));
    console.out().println(file + ": good");
    return ExitCode.OK;
  }
}
