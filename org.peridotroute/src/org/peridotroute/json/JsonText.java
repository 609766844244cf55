package org.peridotroute.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Collection;

/**
 * Writes a JSON object, field by field. Fields with the value 0, false, null or empty can be left
 * out, as records on the log do. Used by one thread.
 */
public final class JsonText {
  private static final JsonFactory FACTORY = new JsonFactory();

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final JsonGenerator generator;

  /** An action that writes fields. */
  @FunctionalInterface
  public interface Fields {
    /** Writes the fields. */
    void write(JsonText text) throws IOException;
  }

  private JsonText() throws IOException {
    generator = FACTORY.createGenerator(out);
  }

  /**
   * Returns an object as UTF-8 text.
   *
   * @param fields writes its fields
   */
  public static byte[] object(Fields fields) {
    try {
      JsonText text = new JsonText();
      text.generator.writeStartObject();
      fields.write(text);
      text.generator.writeEndObject();
      text.generator.close();
      return text.out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot write JSON to memory", e);
    }
  }

  /** Writes a string. */
  public JsonText text(String name, String value) throws IOException {
    generator.writeStringField(name, value);
    return this;
  }

  /** Writes an integer. */
  public JsonText number(String name, long value) throws IOException {
    generator.writeNumberField(name, value);
    return this;
  }

  /** Writes a string unless it is null or empty. */
  public JsonText optional(String name, String value) throws IOException {
    return value == null || value.isEmpty() ? this : text(name, value);
  }

  /** Writes an integer unless it is 0. */
  public JsonText optional(String name, long value) throws IOException {
    return value == 0 ? this : number(name, value);
  }

  /** Writes a number unless it is 0. */
  public JsonText optional(String name, double value) throws IOException {
    if (value != 0) {
      generator.writeNumberField(name, value);
    }
    return this;
  }

  /** Writes a boolean unless it is false. */
  public JsonText optional(String name, boolean value) throws IOException {
    if (value) {
      generator.writeBooleanField(name, true);
    }
    return this;
  }

  /** Writes an array of strings unless it is empty. */
  public JsonText optionalTexts(String name, Collection<String> values) throws IOException {
    if (!values.isEmpty()) {
      generator.writeArrayFieldStart(name);
      for (String value : values) {
        generator.writeString(value);
      }
      generator.writeEndArray();
    }
    return this;
  }

  /** Writes an array of integers unless it is empty. */
  public JsonText optionalNumbers(String name, Collection<Integer> values) throws IOException {
    if (!values.isEmpty()) {
      generator.writeArrayFieldStart(name);
      for (int value : values) {
        generator.writeNumber(value);
      }
      generator.writeEndArray();
    }
    return this;
  }

  /** Writes an object. */
  public JsonText object(String name, Fields fields) throws IOException {
    generator.writeObjectFieldStart(name);
    fields.write(this);
    generator.writeEndObject();
    return this;
  }

  /** Writes an array of objects. */
  public JsonText objects(String name, Collection<? extends Fields> items) throws IOException {
    generator.writeArrayFieldStart(name);
    for (Fields item : items) {
      generator.writeStartObject();
      item.write(this);
      generator.writeEndObject();
    }
    generator.writeEndArray();
    return this;
  }
}
