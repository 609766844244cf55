package org.peridotroute.control;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Action that a command requests from a worker. Each is idempotent by the task's fencing token. */
public enum TaskAction {
  /** Take a lease on the accelerators and load the task without running it. A repeat renews it. */
  @JsonProperty("prepare")
  PREPARE,
  /** Run the prepared task and renew its lease. */
  @JsonProperty("start")
  START,
  /** Renew the lease and report the task's state. */
  @JsonProperty("renew")
  RENEW,
  /** Stop the task if it runs, discard its state and release the accelerators. */
  @JsonProperty("release")
  RELEASE
}
