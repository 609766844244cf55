package org.peridotroute.http;

/** Turns what a handler threw into an answer. */
@FunctionalInterface
public interface HttpErrorMapper {
  /** Tells the class and message of a fault with status 500, and no more. */
  HttpErrorMapper PLAIN =
      (request, fault) ->
          new HttpReply(500, Json.write(fault.getClass().getSimpleName() + ": " + fault));

  /**
   * Turns a fault into an answer.
   *
   * @param request the request
   * @param fault what was thrown
   * @return the answer
   */
  HttpReply reply(HttpRequest request, Exception fault);
}
