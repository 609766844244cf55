package org.peridotroute.scheduler.port;

/** Topics of the keyed log. */
public enum Topic {
  /** Submissions and cancellations; any VM may append. */
  REQUESTS,
  /** Progress of jobs and the claim of the planner role; only the planner appends. */
  PROGRESS,
  /** Configuration, written by operators. */
  CONFIGURATION,
  /** Descriptions of the workers, written by the workers themselves. */
  WORKERS
}
