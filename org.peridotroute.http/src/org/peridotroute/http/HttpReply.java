package org.peridotroute.http;

/**
 * A response with a JSON body, as sent by a handler or received by a client.
 *
 * @param status the HTTP status
 * @param body the response body
 */
public record HttpReply(int status, String body) {
  /** Status of a successful request. */
  public static final int OK = 200;

  /** Status of a request that created a resource. */
  public static final int CREATED = 201;

  /** Status of a request for a resource that does not exist. */
  public static final int NOT_FOUND = 404;

  /** Status of a request for a resource that is no longer available. */
  public static final int GONE = 410;

  /** Status from a server that temporarily cannot handle requests. */
  public static final int UNAVAILABLE = 503;

  /**
   * Returns a response with status 200.
   *
   * @param value the value to serialize as the JSON body
   * @return the response
   */
  public static HttpReply ok(Object value) {
    return new HttpReply(OK, Json.write(value));
  }

  /** Returns whether the status is in the range 200 to 299. */
  public boolean isOk() {
    return status >= OK && status < 300;
  }
}
