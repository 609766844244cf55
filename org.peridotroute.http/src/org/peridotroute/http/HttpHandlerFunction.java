package org.peridotroute.http;

/** Handles requests. May block; called on a worker thread of the server. */
@FunctionalInterface
public interface HttpHandlerFunction {
  /**
   * Handles a request.
   *
   * @param request the request
   * @return the response
   * @throws Exception mapped to a response by the server's {@link HttpErrorMapper}
   */
  HttpReply handle(HttpRequest request) throws Exception;
}
