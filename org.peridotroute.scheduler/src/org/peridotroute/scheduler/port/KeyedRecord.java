package org.peridotroute.scheduler.port;

/**
 * A record of a keyed topic. The value array is shared and must not be modified.
 *
 * @param offset offset of the record; -1 before it is appended
 * @param key key of the record
 * @param value the value; null deletes the key
 */
@SuppressWarnings("ArrayRecordComponent")
public record KeyedRecord(long offset, String key, byte[] value) {
  /**
   * Creates a record that is not appended yet.
   *
   * @param key key of the record
   * @param value the value; null deletes the key
   * @return the record
   */
  public static KeyedRecord of(String key, byte[] value) {
    return new KeyedRecord(-1, key, value);
  }
}
