package org.peridotroute.fold;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How a job ended, as told to its caller. */
public enum Outcome {
  /** It ran whole and its answer is there. */
  @JsonProperty("succeeded")
  SUCCEEDED,
  /** It ran and failed. */
  @JsonProperty("failed")
  FAILED,
  /** It never ran and never will. */
  @JsonProperty("not-run")
  NOT_RUN,
  /** It was cancelled after it had been started. */
  @JsonProperty("cancelled")
  CANCELLED,
  /** It may have run, whole or in part, and will not be run again. */
  @JsonProperty("unknown")
  UNKNOWN
}
