package org.peridotroute.errors;

/** A proposal was refused before anything was sent, so that it has certainly had no effect. */
public final class NotSentException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private NotSentException(String message) {
    super(message);
  }

  /**
   * Creates the exception for a full ring.
   *
   * @param ring the ring's name
   * @return the exception
   */
  public static NotSentException ringFull(String ring) {
    return new NotSentException(Messages.RING_FULL.formatted(ring));
  }

  /**
   * Creates the exception for a service that is stopping.
   *
   * @param service the service's name
   * @return the exception
   */
  public static NotSentException stopping(String service) {
    return new NotSentException(Messages.STOPPING.formatted(service));
  }
}
