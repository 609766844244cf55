package org.peridotroute.journal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.peridotroute.errors.RecordFormatException;

/** Turns records into text and back. Safe for use by several threads. */
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
   * @return its text, one line of JSON
   */
  public static String encode(Envelope envelope) {
    try {
      return MAPPER.writeValueAsString(envelope);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a record of our own does not encode", e);
    }
  }

  /**
   * Decodes a record.
   *
   * @param stream the stream it was read from, for messages
   * @param offset its offset there
   * @param text its text
   * @return the record with its offset
   * @throws RecordFormatException if it is of a later version or does not parse
   */
  public static LogEntry decode(String stream, long offset, String text)
      throws RecordFormatException {
    try {
      JsonNode tree = MAPPER.readTree(text);
      int version = tree.path("version").asInt();
      if (version > Envelope.VERSION) {
        throw RecordFormatException.unknownVersion(stream, offset, version, Envelope.VERSION);
      }
      return new LogEntry(offset, MAPPER.treeToValue(tree, Envelope.class));
    } catch (JsonProcessingException e) {
      throw RecordFormatException.unreadable(stream, offset, e.getOriginalMessage());
    }
  }
}
