package org.peridotroute.scheduler.node;

/** Outcome of a caller's request. */
public enum RequestOutcome {
  /** The request succeeded, and its record is stored if it has one. */
  DONE,
  /** Nothing was stored and nothing will run; the caller may retry. */
  NOT_DONE,
  /** It is not known whether the request was stored. */
  UNKNOWN,
  /** The job was refused because of the load. Nothing was stored and nothing will run. */
  REFUSED,
  /** No job has the id. */
  NO_SUCH_JOB
}
