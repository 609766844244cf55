package org.peridotroute.control;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of a task as its worker reports it. */
public enum TaskState {
  /** The lease is held and the task is loaded. */
  @JsonProperty("prepared")
  PREPARED,
  /** The task is running. */
  @JsonProperty("running")
  RUNNING,
  /** The task has ended and its output is available. */
  @JsonProperty("succeeded")
  SUCCEEDED,
  /** The task has failed. */
  @JsonProperty("failed")
  FAILED,
  /** The accelerators are released; no task with this token runs here or can start later. */
  @JsonProperty("released")
  RELEASED,
  /** The worker holds no lease for this token: it was never granted, or it has expired. */
  @JsonProperty("not-held")
  NOT_HELD,
  /** The worker refuses: a higher token holds the accelerators, or they do not exist. */
  @JsonProperty("refused")
  REFUSED
}
