package org.peridotroute.errors;

/** Message formats of the exceptions in this package. */
final class Messages {
  static final String INVALID_NAME =
      "%s \"%s\" is not valid: use 1 to 63 of a-z, 0-9 and '-', with no '-' at either end";
  static final String OUT_OF_RANGE = "%s is %d; allowed is %d to %d";
  static final String MISSING = "%s is missing";
  static final String TOO_LONG = "%s has %d bytes; allowed are %d";
  static final String INVALID_ADDRESS = "address \"%s\" is not valid: use IPv4:PORT";
  static final String UNPRINTABLE = "%s contains a control character";

  static final String UNKNOWN_VERSION =
      "the record at offset %d of stream \"%s\" has version %d; this process supports up to %d";
  static final String UNREADABLE_RECORD =
      "the record at offset %d of stream \"%s\" is unreadable: %s";
  static final String RING_FULL = "the ring \"%s\" is full; the record was not sent";
  static final String STOPPING = "\"%s\" is stopping; the record was not sent";
  static final String WORKER_UNREACHABLE = "worker \"%s\" gave no usable reply: %s";
  static final String LOG_UNAVAILABLE = "the log at %s failed to append or read records: %s";
  static final String RECORDS_EXPIRED =
      "offset %d of stream \"%s\" is past retention; the earliest retained offset is %d";
  static final String OUTCOME_UNKNOWN =
      "the record was sent but not read back; its outcome is unknown";

  private Messages() {}
}
