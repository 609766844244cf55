package org.peridotroute.server.settings;

/**
 * Something wrong in a settings file.
 *
 * @param file the file
 * @param path the place in it, such as "gang.leaseMillis"
 * @param value what stands there
 * @param allowed what may stand there
 */
public record SettingsFault(String file, String path, String value, String allowed) {
  @Override
  public String toString() {
    String place = path.isEmpty() ? "$" : "$." + path;
    return "%s: %s is %s; allowed is %s".formatted(file, place, value, allowed);
  }
}
