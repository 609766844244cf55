package org.peridotroute.fold;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Phase of a job. */
public enum JobPhase {
  /** Accepted and waiting for free accelerators. */
  @JsonProperty("queued")
  QUEUED,
  /** Accelerators are allocated but no member has been started. */
  @JsonProperty("placed")
  PLACED,
  /** Started; members are running or about to run. */
  @JsonProperty("running")
  RUNNING,
  /** Finished with an {@link Outcome}. */
  @JsonProperty("ended")
  ENDED
}
