package org.peridotroute.journal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.peridotroute.errors.RecordFormatException;

/** Encodes log records as JSON and decodes them. Thread-safe. */
public final class RecordCodec {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private RecordCodec() {}

  /**
   * Encodes a record.
   *
   * @param envelope the record
   * @return one line of JSON
   */
  public static String encode(Envelope envelope) {
    try {
      return MAPPER.writeValueAsString(envelope);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode a log record as JSON", e);
    }
  }

  /**
   * Decodes a record.
   *
   * @param stream name of the stream, for error messages
   * @param offset offset of the record
   * @param text the encoded record
   * @return the record with its offset
   * @throws RecordFormatException if the record has a later version or cannot be parsed
   */
  public static LogEntry decode(String stream, long offset, String text)
      throws RecordFormatException {
    try {
      JsonNode root = MAPPER.readTree(text);
      int version = root.path("version").asInt();
      if (version > Envelope.VERSION) {
        throw RecordFormatException.unknownVersion(stream, offset, version, Envelope.VERSION);
      }
      return new LogEntry(offset, MAPPER.treeToValue(root, Envelope.class));
    } catch (JsonProcessingException e) {
      throw RecordFormatException.unreadable(stream, offset, e.getOriginalMessage());
    }
  }
}
