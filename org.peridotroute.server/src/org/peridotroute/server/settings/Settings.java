package org.peridotroute.server.settings;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.peridotroute.control.GangTimes;
import org.peridotroute.control.PlannerTimes;
import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.VmId;

/** Validated settings of one process. Immutable. Created by {@link SettingsReader}. */
public final class Settings {
  private final Map<Setting, String> values;

  Settings(Map<Setting, String> values) {
    this.values = new EnumMap<>(values);
  }

  /** Returns the name of this VM. */
  public VmId vmId() {
    return new VmId(text(Setting.VM_ID));
  }

  /** Returns the place of this VM. */
  public PlaceId place() {
    return new PlaceId(text(Setting.VM_PLACE));
  }

  /** Returns the renewal interval and timeout of the planner role. */
  public PlannerTimes plannerTimes() {
    return new PlannerTimes(number(Setting.PLANNER_RENEW), number(Setting.PLANNER_TIMEOUT));
  }

  /** Returns the lease, renewal, prepare and retry times of gangs. */
  public GangTimes gangTimes() {
    return new GangTimes(
        number(Setting.GANG_LEASE),
        number(Setting.GANG_RENEW),
        number(Setting.GANG_DRIFT),
        number(Setting.GANG_PREPARE),
        number(Setting.GANG_RETRY));
  }

  /**
   * Returns the value of a setting as text.
   *
   * @param setting the setting
   * @return its value
   */
  public String text(Setting setting) {
    return values.get(setting);
  }

  /**
   * Returns the value of a numeric setting.
   *
   * @param setting the setting
   * @return its value, in the setting's unit
   */
  public long number(Setting setting) {
    return Long.parseLong(values.get(setting));
  }

  /** Returns the effective values of all settings by path, defaults included, for the dump. */
  public Map<String, String> effectiveValues() {
    Map<String, String> byPath = new TreeMap<>();
    values.forEach((setting, value) -> byPath.put(setting.path(), value));
    return byPath;
  }
}
