package org.peridotroute.control;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of a task on its worker. */
public enum TaskState {
  /** The lease is taken and the task loaded. */
  @JsonProperty("prepared")
  PREPARED,
  /** The task runs. */
  @JsonProperty("running")
  RUNNING,
  /** The task is over and its output is there. */
  @JsonProperty("succeeded")
  SUCCEEDED,
  /** The task is over and failed. */
  @JsonProperty("failed")
  FAILED,
  /** The accelerators are given back; nothing of this token runs here or will. */
  @JsonProperty("released")
  RELEASED,
  /** The worker holds no lease of this token: it never did, or the lease has lapsed. */
  @JsonProperty("not-held")
  NOT_HELD,
  /** The worker refuses: a higher token holds the accelerators, or it has none such. */
  @JsonProperty("refused")
  REFUSED
}
