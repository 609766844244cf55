package org.peridotroute.errors;

/** Records asked for are past the log's retention; state must come from a snapshot instead. */
public final class RecordsExpiredException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final long earliestOffset;

  /**
   * Creates the exception.
   *
   * @param stream the stream
   * @param offset the offset asked for
   * @param earliestOffset the earliest offset still kept
   */
  public RecordsExpiredException(String stream, long offset, long earliestOffset) {
    super(Messages.RECORDS_EXPIRED.formatted(offset, stream, earliestOffset));
    this.earliestOffset = earliestOffset;
  }

  /** Returns the earliest offset still kept. */
  public long earliestOffset() {
    return earliestOffset;
  }
}
