package org.peridotroute.server.settings;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.peridotroute.control.GangTimes;
import org.peridotroute.control.PlannerTimes;
import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.VmId;

/** Checked settings of one process. Immutable. Made by {@link SettingsReader}. */
public final class Settings {
  private final Map<Setting, String> texts;

  Settings(Map<Setting, String> texts) {
    this.texts = new EnumMap<>(texts);
  }

  /** Returns the name of this VM. */
  public VmId vmId() {
    return new VmId(text(Setting.VM_ID));
  }

  /** Returns the place of this VM. */
  public PlaceId place() {
    return new PlaceId(text(Setting.VM_PLACE));
  }

  /** Returns the times of the planner's role. */
  public PlannerTimes plannerTimes() {
    return new PlannerTimes(number(Setting.PLANNER_RENEW), number(Setting.PLANNER_TIMEOUT));
  }

  /** Returns the times of gangs. */
  public GangTimes gangTimes() {
    return new GangTimes(
        number(Setting.GANG_LEASE),
        number(Setting.GANG_RENEW),
        number(Setting.GANG_DRIFT),
        number(Setting.GANG_PREPARE),
        number(Setting.GANG_RETRY));
  }

  /**
   * Returns a setting that is a text.
   *
   * @param setting which
   * @return its value
   */
  public String text(Setting setting) {
    return texts.get(setting);
  }

  /**
   * Returns a setting that is a number.
   *
   * @param setting which
   * @return its value, in the setting's unit
   */
  public long number(Setting setting) {
    return Long.parseLong(texts.get(setting));
  }

  /** Returns all settings in force by path, for the dump. */
  public Map<String, String> effectiveValues() {
    Map<String, String> byPath = new TreeMap<>();
    texts.forEach((setting, text) -> byPath.put(setting.path(), text));
    return byPath;
  }
}
