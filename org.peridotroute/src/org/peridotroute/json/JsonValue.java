package org.peridotroute.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A value of a JSON document, or the absence of one. Lookups in a value of another type yield an
 * absent value. Immutable and thread-safe.
 */
public final class JsonValue implements Iterable<JsonValue> {
  /**
   * Deepest nesting that is read. Values are read recursively, so that the depth must fit on the
   * stack of any thread.
   */
  private static final int MAX_DEPTH = 64;

  private static final StreamReadConstraints CONSTRAINTS =
      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build();

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(CONSTRAINTS)
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  private static final JsonFactory STRICT_FACTORY =
      JsonFactory.builder().streamReadConstraints(CONSTRAINTS).build();

  /** The absence of a value. */
  public static final JsonValue ABSENT = new JsonValue(null);

  /** A map, a list, a string, a number, a boolean, or null for JSON null and for no value. */
  private final Object value;

  private JsonValue(Object value) {
    this.value = value;
  }

  /**
   * Parses a document.
   *
   * @param document the UTF-8 text
   * @return its root; absent if the text is empty
   * @throws IOException if the text is not JSON, or nested too deeply
   */
  public static JsonValue parse(byte[] document) throws IOException {
    try (JsonParser parser = STRICT_FACTORY.createParser(document)) {
      return root(parser);
    }
  }

  /**
   * Parses a document that may have comments and trailing commas.
   *
   * @param document the text
   * @return its root; absent if the text is empty
   * @throws IOException if the text is not JSON with comments
   */
  public static JsonValue parseWithComments(String document) throws IOException {
    try (JsonParser parser = FACTORY.createParser(document)) {
      return root(parser);
    }
  }

  private static JsonValue root(JsonParser parser) throws IOException {
    return parser.nextToken() == null ? ABSENT : read(parser);
  }

  /** Reads the value that begins at the current token. */
  private static JsonValue read(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> readArray(parser);
      case VALUE_STRING -> new JsonValue(parser.getText());
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new JsonValue(parser.getNumberValue());
      case VALUE_TRUE, VALUE_FALSE -> new JsonValue(parser.getBooleanValue());
      default -> ABSENT;
    };
  }

  private static JsonValue readObject(JsonParser parser) throws IOException {
    Map<String, JsonValue> fields = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      fields.put(name, read(parser));
    }
    return new JsonValue(fields);
  }

  private static JsonValue readArray(JsonParser parser) throws IOException {
    List<JsonValue> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(read(parser));
    }
    return new JsonValue(items);
  }

  /** Returns whether there is a value other than null. */
  public boolean isPresent() {
    return value != null;
  }

  /** Returns whether the value is an object. */
  public boolean isObject() {
    return value instanceof Map;
  }

  /** Returns whether the value is an array. */
  public boolean isArray() {
    return value instanceof List;
  }

  /** Returns whether the value is a string. */
  public boolean isText() {
    return value instanceof String;
  }

  /** Returns whether the value is a number. */
  public boolean isNumber() {
    return value instanceof Number;
  }

  /** Returns whether the value is an integer in the range of a long. */
  public boolean isLong() {
    return value instanceof Integer || value instanceof Long;
  }

  /** Returns whether the value is a boolean. */
  public boolean isBoolean() {
    return value instanceof Boolean;
  }

  /** Returns the field of an object, absent if there is none. */
  public JsonValue get(String name) {
    return fields().getOrDefault(name, ABSENT);
  }

  /** Returns the item of an array, absent if there is none. */
  public JsonValue get(int index) {
    List<JsonValue> items = items();
    return index < items.size() ? items.get(index) : ABSENT;
  }

  /** Returns the fields of an object in their order, none for a value of another type. */
  @SuppressWarnings("unchecked")
  public Map<String, JsonValue> fields() {
    return isObject() ? (Map<String, JsonValue>) value : Map.of();
  }

  @SuppressWarnings("unchecked")
  private List<JsonValue> items() {
    return isArray() ? (List<JsonValue>) value : List.of();
  }

  /** Iterates over the items of an array, none for a value of another type. */
  @Override
  public Iterator<JsonValue> iterator() {
    return items().iterator();
  }

  /** Returns the string, or a default for a value of another type. */
  public String text(String defaultValue) {
    return isText() ? (String) value : defaultValue;
  }

  /**
   * Returns the number as a long without its fraction, or a default for a value of another type and
   * for a number that is out of the range of a long.
   */
  public long number(long defaultValue) {
    if (isLong()) {
      return ((Number) value).longValue();
    }
    boolean inRange = isNumber() && Math.abs(decimal(0)) < Long.MAX_VALUE;
    return inRange ? ((Number) value).longValue() : defaultValue;
  }

  /** Returns the number as a double, or a default for a value of another type. */
  public double decimal(double defaultValue) {
    return isNumber() ? ((Number) value).doubleValue() : defaultValue;
  }

  /** Returns the boolean, or false for a value of another type. */
  public boolean flag() {
    return Boolean.TRUE.equals(value);
  }
}
