package org.peridotroute.errors;

/**
 * Thrown if this process cannot read a record on the log. The process must then stop applying
 * records and taking part in decisions.
 */
public final class RecordFormatException extends Exception {
  private static final long serialVersionUID = 1L;

  private RecordFormatException(String message) {
    super(message);
  }

  /**
   * Creates the exception for a record with an unsupported version.
   *
   * @param stream name of the stream
   * @param offset offset of the record
   * @param version version of the record
   * @param latestVersion latest version that this process can read
   * @return the exception
   */
  public static RecordFormatException unknownVersion(
      String stream, long offset, int version, int latestVersion) {
    return new RecordFormatException(
        Messages.UNKNOWN_VERSION.formatted(offset, stream, version, latestVersion));
  }

  /**
   * Creates the exception for a record that cannot be parsed.
   *
   * @param stream name of the stream
   * @param offset offset of the record
   * @param reason message of the parser
   * @return the exception
   */
  public static RecordFormatException unreadable(String stream, long offset, String reason) {
    return new RecordFormatException(Messages.UNREADABLE_RECORD.formatted(offset, stream, reason));
  }
}
