package org.peridotroute.server.api;

/** A request is refused. The message names the object at fault. */
public final class ApiException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /**
   * Creates the exception.
   *
   * @param code what is wrong
   * @param message the same for people
   */
  public ApiException(ErrorCode code, String message) {
    super(message);
    this.code = code;
  }

  /** Returns what is wrong. */
  public ErrorCode code() {
    return code;
  }
}
