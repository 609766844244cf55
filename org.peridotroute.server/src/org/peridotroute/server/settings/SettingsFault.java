package org.peridotroute.server.settings;

/**
 * A fault in a settings file.
 *
 * @param file the file
 * @param path path of the setting, such as "gang.leaseMillis"; empty for the file as a whole
 * @param value the value found, or the kind of fault, such as "missing"
 * @param allowed the allowed values
 */
public record SettingsFault(String file, String path, String value, String allowed) {
  @Override
  public String toString() {
    String jsonPath = path.isEmpty() ? "$" : "$." + path;
    return "%s: %s is %s; allowed is %s".formatted(file, jsonPath, value, allowed);
  }
}
