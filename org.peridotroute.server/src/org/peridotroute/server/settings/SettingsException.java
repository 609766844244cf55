package org.peridotroute.server.settings;

import java.util.List;
import java.util.stream.Collectors;

/** A settings file has faults, all of which are told at once. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFault> faults;

  /**
   * Creates the exception.
   *
   * @param faults what is wrong, at least one
   */
  public SettingsException(List<SettingsFault> faults) {
    super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns what is wrong. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
