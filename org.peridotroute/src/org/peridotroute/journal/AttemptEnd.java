package org.peridotroute.journal;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How an attempt ended. */
public enum AttemptEnd {
  /** Given up before it was started: nothing ran. */
  @JsonProperty("abandoned")
  ABANDONED,
  /** Every member succeeded and the whole answer is there. */
  @JsonProperty("succeeded")
  SUCCEEDED,
  /** A member failed; the others were stopped. */
  @JsonProperty("failed")
  FAILED,
  /** A member or its lease was lost; what ran is unknown. */
  @JsonProperty("lost")
  LOST,
  /** Stopped because the caller cancelled the job. */
  @JsonProperty("cancelled")
  CANCELLED,
  /** Stopped because the owner of the guarantee wanted its room back. */
  @JsonProperty("preempted")
  PREEMPTED
}
