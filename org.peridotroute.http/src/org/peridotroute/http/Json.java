package org.peridotroute.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * JSON mapping shared by all HTTP interfaces. Unknown fields and trailing tokens are errors.
 * Thread-safe.
 */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

  private static final ObjectWriter PRETTY =
      MAPPER.writer(new DefaultPrettyPrinter().withObjectIndenter(new DefaultIndenter("  ", "\n")));

  private Json() {}

  /** Returns the shared mapper. Callers must not reconfigure it. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Serializes a value to a single line.
   *
   * @param value the value
   * @return the JSON text
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "cannot serialize a " + value.getClass().getName() + " to JSON", e);
    }
  }

  /**
   * Serializes a value to indented, human-readable JSON.
   *
   * @param value the value
   * @return the JSON text
   */
  public static String writePretty(Object value) {
    try {
      return PRETTY.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "cannot serialize a " + value.getClass().getName() + " to JSON", e);
    }
  }

  /**
   * Parses a value.
   *
   * @param text the JSON text
   * @param type the value's class
   * @param <T> the value's type
   * @return the value
   * @throws JsonProcessingException if the text is not valid JSON or does not match the type
   */
  public static <T> T read(String text, Class<T> type) throws JsonProcessingException {
    return MAPPER.readValue(text, type);
  }

  /**
   * Parses a tree.
   *
   * @param text the JSON text
   * @return the root of the tree
   * @throws JsonProcessingException if the text is not valid JSON
   */
  public static JsonNode readTree(String text) throws JsonProcessingException {
    return MAPPER.readTree(text);
  }

  /**
   * Describes a parse error by its position and reason, without quoting the text.
   *
   * @param exception the exception that the parser threw
   * @return the line, the column and the reason
   */
  public static String describe(JsonProcessingException exception) {
    String reason = exception.getOriginalMessage().split(" \\(", 2)[0];
    if (exception.getLocation() == null) {
      return reason;
    }
    return "line %d column %d: %s"
        .formatted(
            exception.getLocation().getLineNr(), exception.getLocation().getColumnNr(), reason);
  }
}
