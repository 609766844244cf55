package org.peridotroute.errors;

/** Thrown if the log gave no usable reply. A failed append may still have taken effect. */
public final class LogUnavailableException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param address address of the log
   * @param reason cause of the failure
   */
  public LogUnavailableException(String address, String reason) {
    super(Messages.LOG_UNAVAILABLE.formatted(address, reason));
  }
}
