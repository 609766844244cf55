package org.peridotroute.errors;

/**
 * Thrown if the requested records are past the log's retention. State must be read from a snapshot.
 */
public final class RecordsExpiredException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final long earliestOffset;

  /**
   * Creates the exception.
   *
   * @param stream name of the stream
   * @param offset the requested offset
   * @param earliestOffset earliest offset that is still retained
   */
  public RecordsExpiredException(String stream, long offset, long earliestOffset) {
    super(Messages.RECORDS_EXPIRED.formatted(offset, stream, earliestOffset));
    this.earliestOffset = earliestOffset;
  }

  /** Returns the earliest offset that is still retained. */
  public long earliestOffset() {
    return earliestOffset;
  }
}
