package org.peridotroute.journal;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How an attempt ended. */
public enum AttemptEnd {
  /** Abandoned before the start; nothing ran. */
  @JsonProperty("abandoned")
  ABANDONED,
  /** Every member succeeded and the answer is complete. */
  @JsonProperty("succeeded")
  SUCCEEDED,
  /** A member failed and the other members were stopped. */
  @JsonProperty("failed")
  FAILED,
  /** A member or its lease was lost; it is unknown what ran. */
  @JsonProperty("lost")
  LOST,
  /** Stopped because the caller cancelled the job. */
  @JsonProperty("cancelled")
  CANCELLED,
  /** Stopped because the owner of the guarantee reclaimed the accelerators. */
  @JsonProperty("preempted")
  PREEMPTED
}
