package org.peridotroute.scheduler.model;

import java.util.Arrays;
import java.util.Optional;

/** A part of the scheduler that acts only where the settings of a deployment ask for it. */
public enum Feature {
  /** Orders pending steps by what a delay costs their callers. */
  CALLER_COST("caller-cost"),
  /** Refuses jobs that can no longer be of use to their callers. */
  ADMISSION("admission"),
  /** Quarantines workers by evidence and learns the speed of each. */
  WORKER_CONDUCT("worker-conduct"),
  /** Takes earlier stops of a task into account before it is stopped again. */
  STOP_HISTORY("stop-history"),
  /** Lets a few VMs follow the planner closely, so that one of them takes over sooner. */
  FAST_TAKEOVER("fast-takeover");

  private final String settingName;

  Feature(String settingName) {
    this.settingName = settingName;
  }

  /** Returns the name of this feature in settings files. */
  public String settingName() {
    return settingName;
  }

  /**
   * Finds a feature by its name in settings files.
   *
   * @param name the name
   * @return the feature, or empty if there is none of this name
   */
  public static Optional<Feature> find(String name) {
    return Arrays.stream(values()).filter(feature -> feature.settingName.equals(name)).findFirst();
  }
}
