package org.peridotroute.errors;

/** Thrown if a proposal was rejected before anything was sent. It certainly had no effect. */
public final class NotSentException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private NotSentException(String message) {
    super(message);
  }

  /**
   * Creates the exception for a full ring buffer.
   *
   * @param ring name of the ring buffer
   * @return the exception
   */
  public static NotSentException ringFull(String ring) {
    return new NotSentException(Messages.RING_FULL.formatted(ring));
  }

  /**
   * Creates the exception for a service that is stopping.
   *
   * @param service name of the service
   * @return the exception
   */
  public static NotSentException stopping(String service) {
    return new NotSentException(Messages.STOPPING.formatted(service));
  }
}
