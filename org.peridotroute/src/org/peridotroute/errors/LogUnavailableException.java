package org.peridotroute.errors;

/** The log gave no usable answer. An append that ends so may still have taken effect. */
public final class LogUnavailableException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param address the log's address
   * @param reason what was seen
   */
  public LogUnavailableException(String address, String reason) {
    super(Messages.LOG_UNAVAILABLE.formatted(address, reason));
  }
}
