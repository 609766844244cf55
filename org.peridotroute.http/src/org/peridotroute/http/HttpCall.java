package org.peridotroute.http;

import java.util.Map;

/**
 * A request for {@link HttpClient} to send. The body array is shared and must not be modified.
 *
 * @param method the HTTP method
 * @param url the absolute URL
 * @param headers request headers, without those that describe the body
 * @param contentType content type of the body; ignored if there is no body
 * @param body the request body, or null
 * @param timeoutMillis timeout until the response starts, including connecting, and between two
 *     parts of its body
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpCall(
    String method,
    String url,
    Map<String, String> headers,
    String contentType,
    byte[] body,
    long timeoutMillis) {
  /** Copies the headers. */
  public HttpCall {
    headers = Map.copyOf(headers);
  }
}
