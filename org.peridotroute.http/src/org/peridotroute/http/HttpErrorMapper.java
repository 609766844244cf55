package org.peridotroute.http;

/** Maps an exception thrown by a handler to a response. */
@FunctionalInterface
public interface HttpErrorMapper {
  /** Responds with status 500 and the exception's class and message. */
  HttpErrorMapper PLAIN =
      (request, exception) ->
          new HttpReply(500, Json.write(exception.getClass().getSimpleName() + ": " + exception));

  /**
   * Maps an exception to a response.
   *
   * @param request the request that failed
   * @param exception the exception that the handler threw
   * @return the response
   */
  HttpReply reply(HttpRequest request, Exception exception);
}
