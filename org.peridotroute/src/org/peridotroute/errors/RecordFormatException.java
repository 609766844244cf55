package org.peridotroute.errors;

/** A record on the log cannot be read by this process, which must then stop taking part. */
public final class RecordFormatException extends Exception {
  private static final long serialVersionUID = 1L;

  private RecordFormatException(String message) {
    super(message);
  }

  /**
   * Creates the exception for a record of a later version.
   *
   * @param stream the stream
   * @param offset the record's offset
   * @param version the record's version
   * @param knownVersion the latest version this process reads
   * @return the exception
   */
  public static RecordFormatException unknownVersion(
      String stream, long offset, int version, int knownVersion) {
    return new RecordFormatException(
        Messages.UNKNOWN_VERSION.formatted(offset, stream, version, knownVersion));
  }

  /**
   * Creates the exception for a record that does not parse.
   *
   * @param stream the stream
   * @param offset the record's offset
   * @param reason what the parser said
   * @return the exception
   */
  public static RecordFormatException unreadable(String stream, long offset, String reason) {
    return new RecordFormatException(Messages.UNREADABLE_RECORD.formatted(offset, stream, reason));
  }
}
