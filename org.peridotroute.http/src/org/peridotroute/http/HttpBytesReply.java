package org.peridotroute.http;

import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletionException;

/**
 * An answer with a body of any kind. The bytes are shared and must not be changed.
 *
 * @param status the HTTP status
 * @param body the body, empty where there is none
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpBytesReply(int status, byte[] body) {
  /** In place of a status: there was no connection, so nothing was sent. */
  public static final int NOT_SENT = -1;

  /** In place of a status: there was no answer, so nobody knows whether the call had an effect. */
  public static final int UNANSWERED = 0;

  /**
   * Makes a reply that stands for a call without one.
   *
   * @param failure what the call failed with
   * @return the reply, with the failure's text as its body
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

  /** Returns whether the status is one of success. */
  public boolean isOk() {
    return status >= HttpReply.OK && status < 300;
  }

  /**
   * An answer of a server to its caller.
   *
   * @param status the HTTP status
   * @param headers headers beside those of the body
   * @param body the body, JSON; empty for none
   */
  public record Outgoing(int status, Map<String, String> headers, String body) {
    /** Copies the headers. */
    public Outgoing {
      headers = Map.copyOf(headers);
    }
  }
}
