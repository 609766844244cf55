package org.peridotroute.fold;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What the fold made of a record at its offset. */
public enum Verdict {
  /** It took effect. */
  @JsonProperty("accepted")
  ACCEPTED,
  /** It was seen before; nothing changed. */
  @JsonProperty("repeated")
  REPEATED,
  /** A job of that name exists with the same spec; nothing changed. */
  @JsonProperty("same-job")
  SAME_JOB,
  /** A job of that name exists with another spec. */
  @JsonProperty("name-taken")
  NAME_TAKEN,
  /** There is no such job, organisation or attempt. */
  @JsonProperty("not-found")
  NOT_FOUND,
  /** The job has ended, or is in a phase in which the record means nothing. */
  @JsonProperty("wrong-phase")
  WRONG_PHASE,
  /** The writer's planner epoch, the attempt or its token is not the current one. */
  @JsonProperty("stale")
  STALE,
  /** An accelerator is in use, named twice, or the members do not fit the shape. */
  @JsonProperty("bad-placement")
  BAD_PLACEMENT,
  /** A non-idempotent job would have been started a second time. */
  @JsonProperty("second-start")
  SECOND_START,
  /** Somebody else changed the resource first. */
  @JsonProperty("lost-race")
  LOST_RACE,
  /** A limit on what is kept was reached. */
  @JsonProperty("full")
  FULL,
  /** The record does not belong on this stream. */
  @JsonProperty("wrong-stream")
  WRONG_STREAM;

  /** Returns whether the record took effect. */
  public boolean isAccepted() {
    return this == ACCEPTED;
  }
}
