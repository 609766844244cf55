package org.peridotroute.server.api;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** What went wrong with a request, with its HTTP status. */
public enum ErrorCode {
  /** The body is not JSON or does not fit the resource. */
  BAD_JSON(400),
  /** A value is missing, malformed or out of range. */
  INVALID_VALUE(400),
  /** The body is over the limit. */
  BODY_TOO_LARGE(413),
  /** There is no such path, or not with this method. */
  NO_SUCH_PATH(404),
  /** There is no such organisation. */
  UNKNOWN_ORGANISATION(404),
  /** There is no such job. */
  UNKNOWN_JOB(404),
  /** A job of that name exists with another spec. */
  NAME_TAKEN(409),
  /** The resource was changed since the revision the change was made from. */
  LOST_RACE(409),
  /** The job has ended or is being cancelled already. */
  ALREADY_ENDED(409),
  /** The job has no answer. */
  NO_ANSWER(409),
  /** No guarantee of the organisation can hold a non-idempotent job. */
  NO_GUARANTEE(422),
  /** The guarantees of all organisations together would not fit any more. */
  GUARANTEE_DOES_NOT_FIT(422),
  /** Nothing that there is could ever hold the shape. */
  IMPOSSIBLE_SHAPE(422),
  /** The organisation still has jobs. */
  IN_USE(409),
  /** Changes since that revision are not kept any more. */
  REVISION_EXPIRED(410),
  /** Too much waits already. */
  OVERLOADED(503),
  /** The log takes nothing at present. */
  LOG_UNAVAILABLE(503),
  /** The process is not ready or is about to stop. */
  NOT_READY(503),
  /** The change was sent to the log but not read back in time. */
  OUTCOME_UNKNOWN(504),
  /** A fault of the process itself. */
  INTERNAL(500);

  private final int status;

  ErrorCode(int status) {
    this.status = status;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the code as it stands in bodies, such as "lost_race". */
  @JsonValue
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns whether the change may have taken effect all the same. */
  public boolean mayHaveTakenEffect() {
    return this == OUTCOME_UNKNOWN || this == INTERNAL;
  }

  /** Returns whether the same request may succeed later. */
  public boolean isTemporary() {
    return status >= 503;
  }
}
