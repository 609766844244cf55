package org.peridotroute.server.api;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Error codes of the resource API and their HTTP status. */
public enum ErrorCode {
  /** The body is not JSON or does not have the structure of the resource. */
  BAD_JSON(400),
  /** A value is missing, malformed or out of range. */
  INVALID_VALUE(400),
  /** The body exceeds the size limit. */
  BODY_TOO_LARGE(413),
  /** The path does not exist or does not support the method. */
  NO_SUCH_PATH(404),
  /** The organisation is not declared. */
  UNKNOWN_ORGANISATION(404),
  /** The job does not exist. */
  UNKNOWN_JOB(404),
  /** A job of that name exists with a different spec. */
  NAME_TAKEN(409),
  /** The resource was changed after the revision on which the change is based. */
  LOST_RACE(409),
  /** The job has already ended or is already being cancelled. */
  ALREADY_ENDED(409),
  /** The job has no answer. */
  NO_ANSWER(409),
  /** No guarantee of the organisation can hold a non-idempotent job. */
  NO_GUARANTEE(422),
  /** The guarantees of all organisations together would no longer fit. */
  GUARANTEE_DOES_NOT_FIT(422),
  /** The shape would not fit even if every accelerator were free. */
  IMPOSSIBLE_SHAPE(422),
  /** The organisation still has jobs. */
  IN_USE(409),
  /** Changes since that revision are no longer kept. */
  REVISION_EXPIRED(410),
  /** The limit on jobs, organisations or queued changes is reached. */
  OVERLOADED(503),
  /** The log does not accept appends at present. */
  LOG_UNAVAILABLE(503),
  /** The process is not ready or is about to stop. */
  NOT_READY(503),
  /** The change was sent to the log but not confirmed by a read in time. */
  OUTCOME_UNKNOWN(504),
  /** An internal error of the process. */
  INTERNAL(500);

  private final int status;

  ErrorCode(int status) {
    this.status = status;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the code as written in response bodies, such as "lost_race". */
  @JsonValue
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns whether the change may have taken effect despite the error. */
  public boolean mayHaveTakenEffect() {
    return this == OUTCOME_UNKNOWN || this == INTERNAL;
  }

  /** Returns whether the same request may succeed later. */
  public boolean isTemporary() {
    return status >= 503;
  }
}
