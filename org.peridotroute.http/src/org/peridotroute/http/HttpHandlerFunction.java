package org.peridotroute.http;

/** Handles a request. May block; called on a thread of the server's pool. */
@FunctionalInterface
public interface HttpHandlerFunction {
  /**
   * Handles a request.
   *
   * @param request the request
   * @return the answer
   * @throws Exception turned into an answer by the server's {@link HttpErrorMapper}
   */
  HttpReply handle(HttpRequest request) throws Exception;
}
