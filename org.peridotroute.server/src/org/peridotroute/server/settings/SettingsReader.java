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
 * Reads settings in JSON with comments and checks them as a whole before anything starts. Used by
 * one thread.
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
  private final Map<Setting, String> texts = new EnumMap<>(Setting.class);

  private SettingsReader(String file) {
    this.file = file;
  }

  /**
   * Reads a file.
   *
   * @param path the file
   * @return the settings
   * @throws SettingsException if there is no such file, or with all that is wrong in it
   */
  public static Settings read(Path path) throws SettingsException {
    try {
      return parse(path.toString(), Files.readString(path));
    } catch (IOException e) {
      throw new SettingsException(
          List.of(new SettingsFault(path.toString(), "", "unreadable", "a file of settings")));
    }
  }

  /**
   * Reads a text.
   *
   * @param file what to call it in messages
   * @param text the text
   * @return the settings
   * @throws SettingsException with all that is wrong
   */
  public static Settings parse(String file, String text) throws SettingsException {
    return new SettingsReader(file).read(text);
  }

  private Settings read(String text) throws SettingsException {
    Map<String, JsonNode> leaves = new TreeMap<>();
    try {
      flatten("", MAPPER.readTree(text), leaves);
    } catch (JsonProcessingException e) {
      fault("", "not JSON at " + Json.describe(e), "JSON with comments");
      throw new SettingsException(faults);
    }
    for (Setting setting : Setting.values()) {
      take(setting, leaves.remove(setting.path()));
    }
    leaves.forEach((path, node) -> fault(path, "not a setting", "what the schema lists"));
    if (faults.isEmpty()) {
      checkTogether();
    }
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
    return new Settings(texts);
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

  private void take(Setting setting, JsonNode node) {
    if (node == null) {
      if (setting.defaultText() == null) {
        fault(setting.path(), "missing", setting.allowed());
      }
      texts.put(setting, setting.defaultText());
      return;
    }
    boolean good =
        setting.isNumber()
            ? node.isIntegralNumber() && node.canConvertToLong() && setting.allows(node.asLong())
            : node.isTextual() && setting.allows(node.asText());
    if (good) {
      texts.put(setting, node.asText());
    } else {
      fault(setting.path(), node.toString(), setting.allowed());
    }
  }

  private void checkTogether() {
    atMost(Setting.PEER_STATUS, Setting.PEER_SUSPECT, 2);
    atMost(Setting.PLANNER_RENEW, Setting.PLANNER_TIMEOUT, 2);
    atMost(Setting.GANG_RENEW, Setting.GANG_LEASE, 2);
    atMost(Setting.GANG_RETRY, Setting.GANG_LEASE, 2);
    atMost(Setting.GANG_CALL, Setting.GANG_LEASE, 2);
    atMost(Setting.GANG_DRIFT, Setting.GANG_LEASE, 1);
    long slots = number(Setting.LOG_SLOTS);
    if (Long.bitCount(slots) != 1) {
      fault(Setting.LOG_SLOTS.path(), Long.toString(slots), "a power of two");
    }
  }

  private void atMost(Setting setting, Setting limit, int divisor) {
    long most = number(limit) / divisor;
    if (number(setting) > most) {
      String allowed = "at most " + most + ", since " + limit.path() + " is " + number(limit);
      fault(setting.path(), texts.get(setting), allowed);
    }
  }

  private long number(Setting setting) {
    return Long.parseLong(texts.get(setting));
  }

  private void fault(String path, String value, String allowed) {
    faults.add(new SettingsFault(file, path, value, allowed));
  }
}
