package org.peridotroute.fold;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Final outcome of a job, as reported to the caller. */
public enum Outcome {
  /** The job ran to completion and its complete answer is available. */
  @JsonProperty("succeeded")
  SUCCEEDED,
  /** The job ran and failed. */
  @JsonProperty("failed")
  FAILED,
  /** The job was never started and never will be. */
  @JsonProperty("not-run")
  NOT_RUN,
  /** The job was cancelled after it had been started. */
  @JsonProperty("cancelled")
  CANCELLED,
  /** The job may have run completely or in part, and will not be run again. */
  @JsonProperty("unknown")
  UNKNOWN
}
