package org.peridotroute.http;

import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletionException;

/**
 * A response with a body of any content type, as received by a client. The body array is shared and
 * must not be modified.
 *
 * @param status the HTTP status, or {@link #NOT_SENT} or {@link #UNANSWERED}
 * @param body the response body, empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpBytesReply(int status, byte[] body) {
  /** Pseudo status: no connection could be opened, so the request was not sent. */
  public static final int NOT_SENT = -1;

  /** Pseudo status: no response arrived, so it is unknown whether the call had an effect. */
  public static final int UNANSWERED = 0;

  /**
   * Returns the reply that represents a failed call.
   *
   * @param failure the exception that the call failed with
   * @return a reply with a pseudo status, whose body is the exception's text
   */
  public static HttpBytesReply ofFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    int status = cause instanceof ConnectException ? NOT_SENT : UNANSWERED;
    return new HttpBytesReply(status, cause.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the body as UTF-8. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns whether the status is in the range 200 to 299. */
  public boolean isOk() {
    return status >= HttpReply.OK && status < 300;
  }

  /**
   * A response that a server sends.
   *
   * @param status the HTTP status
   * @param headers response headers, without those that describe the body
   * @param body the JSON body, empty if there is none
   */
  public record Outgoing(int status, Map<String, String> headers, String body) {
    /** Copies the headers. */
    public Outgoing {
      headers = Map.copyOf(headers);
    }
  }
}
