package org.peridotroute.control;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a command asks of a worker. Each is idempotent by the task's token. */
public enum TaskAction {
  /** Take a lease on the accelerators and load the task; run nothing. Repeating it renews. */
  @JsonProperty("prepare")
  PREPARE,
  /** Run the prepared task and renew its lease. */
  @JsonProperty("start")
  START,
  /** Renew the lease and tell the task's state. */
  @JsonProperty("renew")
  RENEW,
  /** Stop the task if it runs, forget it and give the accelerators back. */
  @JsonProperty("release")
  RELEASE
}
