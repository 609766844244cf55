package org.peridotroute.server.api;

/** Thrown when a request fails. The message names the object that caused the failure. */
public final class ApiException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /**
   * Creates the exception.
   *
   * @param code error code
   * @param message description of the error
   */
  public ApiException(ErrorCode code, String message) {
    super(message);
    this.code = code;
  }

  /** Returns the error code. */
  public ErrorCode code() {
    return code;
  }
}
