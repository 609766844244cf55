package org.peridotroute.http;

import java.util.Map;

/**
 * A request as a handler sees it. Immutable.
 *
 * @param id the request's id, from its X-Request-Id header or made by the server
 * @param method the method
 * @param path the path
 * @param parameters parameters of the path and the query by name; the first value counts
 * @param body the body, empty where there is none
 */
public record HttpRequest(
    String id, String method, String path, Map<String, String> parameters, String body) {
  /** Copies the parameters. */
  public HttpRequest {
    parameters = Map.copyOf(parameters);
  }

  /**
   * Returns a parameter.
   *
   * @param name its name
   * @return its value, null where it is absent
   */
  public String parameter(String name) {
    return parameters.get(name);
  }
}
