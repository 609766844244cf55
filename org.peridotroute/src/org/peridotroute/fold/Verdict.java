package org.peridotroute.fold;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Result of validating a record against the state at its offset. */
public enum Verdict {
  /** The record took effect. */
  @JsonProperty("accepted")
  ACCEPTED,
  /** The record is a duplicate or older than the last one of its writer; nothing changed. */
  @JsonProperty("repeated")
  REPEATED,
  /** A job with that name and the same spec exists; nothing changed. */
  @JsonProperty("same-job")
  SAME_JOB,
  /** A job with that name but another spec exists. */
  @JsonProperty("name-taken")
  NAME_TAKEN,
  /** The job, organisation or attempt does not exist. */
  @JsonProperty("not-found")
  NOT_FOUND,
  /** The job has ended, or the record does not apply to its state. */
  @JsonProperty("wrong-phase")
  WRONG_PHASE,
  /** The planner epoch, the attempt number or the fencing token is not the current one. */
  @JsonProperty("stale")
  STALE,
  /** An accelerator is held or listed twice, or the members or leases do not match the shape. */
  @JsonProperty("bad-placement")
  BAD_PLACEMENT,
  /** The record would start a non-idempotent job a second time. */
  @JsonProperty("second-start")
  SECOND_START,
  /** A concurrent change to the same resource was applied first. */
  @JsonProperty("lost-race")
  LOST_RACE,
  /** A limit on the size of the state was reached. */
  @JsonProperty("full")
  FULL,
  /** The record type does not belong to this stream. */
  @JsonProperty("wrong-stream")
  WRONG_STREAM;

  /** Returns whether the record took effect. */
  public boolean isAccepted() {
    return this == ACCEPTED;
  }
}
