package org.peridotroute.pgm;

import java.nio.file.Path;
import org.peridotroute.server.settings.Settings;
import org.peridotroute.server.settings.SettingsException;
import org.peridotroute.server.settings.SettingsReader;

/** Reads a settings file and reports errors as a {@link CommandException}. */
final class SettingsFile {
  private SettingsFile() {}

  static Settings read(Path file) throws CommandException {
    try {
      return SettingsReader.read(file);
    } catch (SettingsException e) {
      throw new CommandException(ExitCode.USAGE, e.getMessage());
    }
  }
}
