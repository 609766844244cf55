package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Class of a job. The order of the constants is the order of service. */
public enum JobClass {
  /** Somebody is watching a screen for the answer. */
  @JsonProperty("interactive")
  INTERACTIVE,
  /** To be started within seconds. */
  @JsonProperty("urgent")
  URGENT,
  /** May wait. */
  @JsonProperty("batch")
  BATCH
}
