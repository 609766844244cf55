package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import org.peridotroute.server.settings.Setting;

/** Prints all settings with their range, unit, default and meaning. */
@Command(
    name = "settings-schema",
    description = "print all settings with their range, unit and default")
public final class SettingsSchemaCommand implements ConsoleCommand {
  private static final String ROW = "%-30s %-38s %-6s %-12s %s%n";

  @Override
  public int call(Console console) {
    console.out().printf(ROW, "SETTING", "ALLOWED", "UNIT", "DEFAULT", "MEANING");
    for (Setting setting : Setting.values()) {
      String defaultText = setting.defaultText() == null ? "(required)" : setting.defaultText();
      console
          .out()
          .printf(
              ROW,
              setting.path(),
              setting.allowed(),
              setting.unit(),
              defaultText,
              setting.description());
    }
    return ExitCode.OK;
  }
}
