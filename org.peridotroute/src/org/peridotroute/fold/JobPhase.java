package org.peridotroute.fold;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Phase of a job's life. */
public enum JobPhase {
  /** Accepted, waiting for room. */
  @JsonProperty("queued")
  QUEUED,
  /** Accelerators are assigned; nothing runs yet. */
  @JsonProperty("placed")
  PLACED,
  /** Started; members run or are about to. */
  @JsonProperty("running")
  RUNNING,
  /** Over. */
  @JsonProperty("ended")
  ENDED
}
