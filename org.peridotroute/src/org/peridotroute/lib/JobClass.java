package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Scheduling class of a job. The planner serves the classes in the order of declaration. */
public enum JobClass {
  /** A user is waiting for the answer. */
  @JsonProperty("interactive")
  INTERACTIVE,
  /** The job must start within seconds. */
  @JsonProperty("urgent")
  URGENT,
  /** The job may wait. */
  @JsonProperty("batch")
  BATCH
}
