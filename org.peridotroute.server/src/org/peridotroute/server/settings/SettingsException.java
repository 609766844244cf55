package org.peridotroute.server.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a settings file is invalid. The message lists all faults, one per line. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFault> faults;

  /**
   * Creates the exception.
   *
   * @param faults the faults found, at least one
   */
  public SettingsException(List<SettingsFault> faults) {
    super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns the faults found. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
