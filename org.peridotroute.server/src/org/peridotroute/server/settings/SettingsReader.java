package org.peridotroute.server.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.peridotroute.http.Json;

/**
 * Reads settings from JSON with comments and validates all of them before the process starts. Not
 * thread-safe.
 */
public final class SettingsReader {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .build();

  private final String file;
  private final List<SettingsFault> faults = new ArrayList<>();
  private final Map<Setting, String> values = new EnumMap<>(Setting.class);

  private SettingsReader(String file) {
    this.file = file;
  }

  /**
   * Reads a settings file.
   *
   * @param path the file
   * @return the validated settings
   * @throws SettingsException if the file cannot be read or has faults; lists all faults
   */
  public static Settings read(Path path) throws SettingsException {
    try {
      return parse(path.toString(), Files.readString(path));
    } catch (IOException e) {
      throw new SettingsException(
          List.of(
              new SettingsFault(path.toString(), "", "unreadable", "a readable settings file")));
    }
  }

  /**
   * Parses the text of a settings file.
   *
   * @param file name of the file in messages
   * @param text the text
   * @return the validated settings
   * @throws SettingsException if the text has faults; lists all faults
   */
  public static Settings parse(String file, String text) throws SettingsException {
    return new SettingsReader(file).read(text);
  }

  private Settings read(String text) throws SettingsException {
    Map<String, JsonNode> leaves = new TreeMap<>();
    try {
      flatten("", MAPPER.readTree(text), leaves);
    } catch (JsonProcessingException e) {
      addFault("", "not JSON at " + Json.describe(e), "JSON with comments");
      throw new SettingsException(faults);
    }
    for (Setting setting : Setting.values()) {
      readSetting(setting, leaves.remove(setting.path()));
    }
    leaves.forEach(
        (path, node) -> addFault(path, "not a known setting", "what settings-schema lists"));
    if (faults.isEmpty()) {
      checkConstraints();
    }
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
    return new Settings(values);
  }

  private static void flatten(String prefix, JsonNode node, Map<String, JsonNode> leaves) {
    if (!node.isObject()) {
      leaves.put(prefix, node);
      return;
    }
    node.properties()
        .forEach(
            field -> {
              String path = prefix.isEmpty() ? field.getKey() : prefix + "." + field.getKey();
              flatten(path, field.getValue(), leaves);
            });
  }

  private void readSetting(Setting setting, JsonNode node) {
    if (node == null) {
      if (setting.defaultText() == null) {
        addFault(setting.path(), "missing", setting.allowed());
      }
      values.put(setting, setting.defaultText());
      return;
    }
    boolean valid =
        setting.isNumber()
            ? node.isIntegralNumber() && node.canConvertToLong() && setting.allows(node.asLong())
            : node.isTextual() && setting.allows(node.asText());
    if (valid) {
      values.put(setting, node.asText());
    } else {
      addFault(setting.path(), node.toString(), setting.allowed());
    }
  }

  private void checkConstraints() {
    requireAtMost(Setting.PEER_STATUS, Setting.PEER_SUSPECT, 2);
    requireAtMost(Setting.PLANNER_RENEW, Setting.PLANNER_TIMEOUT, 2);
    requireAtMost(Setting.GANG_RENEW, Setting.GANG_LEASE, 2);
    requireAtMost(Setting.GANG_RETRY, Setting.GANG_LEASE, 2);
    requireAtMost(Setting.GANG_CALL, Setting.GANG_LEASE, 2);
    requireAtMost(Setting.GANG_DRIFT, Setting.GANG_LEASE, 1);
    long slots = number(Setting.LOG_SLOTS);
    if (Long.bitCount(slots) != 1) {
      addFault(Setting.LOG_SLOTS.path(), Long.toString(slots), "a power of two");
    }
  }

  private void requireAtMost(Setting setting, Setting limit, int divisor) {
    long max = number(limit) / divisor;
    if (number(setting) > max) {
      String allowed = "at most " + max + ", since " + limit.path() + " is " + number(limit);
      addFault(setting.path(), values.get(setting), allowed);
    }
  }

  private long number(Setting setting) {
    return Long.parseLong(values.get(setting));
  }

  private void addFault(String path, String value, String allowed) {
    faults.add(new SettingsFault(file, path, value, allowed));
  }
}
