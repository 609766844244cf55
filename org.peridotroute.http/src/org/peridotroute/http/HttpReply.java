package org.peridotroute.http;

/**
 * An answer with a JSON body, from a handler or to a client.
 *
 * @param status the HTTP status
 * @param body the body
 */
public record HttpReply(int status, String body) {
  /** Status of an answer that carries what was asked for. */
  public static final int OK = 200;

  /** Status of an answer about something that was made. */
  public static final int CREATED = 201;

  /** Status of an answer about something that is not there. */
  public static final int NOT_FOUND = 404;

  /** Status of an answer about something that is there no more. */
  public static final int GONE = 410;

  /** Status of an answer from a server that cannot serve at present. */
  public static final int UNAVAILABLE = 503;

  /**
   * Makes an answer with status 200.
   *
   * @param value what to write as JSON
   * @return the answer
   */
  public static HttpReply ok(Object value) {
    return new HttpReply(OK, Json.write(value));
  }

  /** Returns whether the status is one of success. */
  public boolean isOk() {
    return status >= OK && status < 300;
  }
}
