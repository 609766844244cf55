package org.peridotroute.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** JSON as our interfaces speak it: unknown fields are faults. Safe for use by several threads. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

  private static final ObjectWriter PRETTY =
      MAPPER.writer(new DefaultPrettyPrinter().withObjectIndenter(new DefaultIndenter("  ", "\n")));

  private Json() {}

  /** Returns the shared mapper. It must not be reconfigured. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Writes a value on one line.
   *
   * @param value the value
   * @return its text
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a value of our own does not encode", e);
    }
  }

  /**
   * Writes a value over several lines, for people.
   *
   * @param value the value
   * @return its text
   */
  public static String writePretty(Object value) {
    try {
      return PRETTY.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a value of our own does not encode", e);
    }
  }

  /**
   * Reads a value.
   *
   * @param text its text
   * @param type its type
   * @param <T> its type
   * @return the value
   * @throws JsonProcessingException if the text does not parse or does not fit the type
   */
  public static <T> T read(String text, Class<T> type) throws JsonProcessingException {
    return MAPPER.readValue(text, type);
  }

  /**
   * Reads a tree.
   *
   * @param text its text
   * @return the tree
   * @throws JsonProcessingException if the text does not parse
   */
  public static JsonNode readTree(String text) throws JsonProcessingException {
    return MAPPER.readTree(text);
  }

  /**
   * Tells where and why a text is not valid, without quoting it.
   *
   * @param fault what the parser threw
   * @return the place and the reason
   */
  public static String describe(JsonProcessingException fault) {
    String reason = fault.getOriginalMessage().split(" \\(", 2)[0];
    if (fault.getLocation() == null) {
      return reason;
    }
    return "line %d column %d: %s"
        .formatted(fault.getLocation().getLineNr(), fault.getLocation().getColumnNr(), reason);
  }
}
