package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/** Runs the scheduler on an entry VM of the users' platform until a signal stops it. */
@Command(name = "edge", description = "run the scheduler on an entry VM of the users' platform")
public final class EdgeCommand implements ConsoleCommand {
  @Option(name = "--settings", description = "settings file; default: $PERIDOTROUTE_CONFIG")
  private String file;

  @Override
  public int call(Console console) throws Exception {
    return EdgeMain.run(file);
  }
}
