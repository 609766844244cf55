package lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. Stateless. */
final class Json {
  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json reader = new Json(text);
    Object value = reader.value();
    reader.skipSpace();
    if (reader.position != text.length()) {
      throw new IllegalArgumentException("text after the JSON value at " + reader.position);
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  private void skipSpace() {
    while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
      position++;
    }
  }

  private char next() {
    return text.charAt(position++);
  }

  private Object value() {
    skipSpace();
    char first = text.charAt(position);
    switch (first) {
      case '{':
        return readObject();
      case '[':
        return readList();
      case '"':
        return readString();
      default:
        return readWord();
    }
  }

  private Map<String, Object> readObject() {
    Map<String, Object> fields = new LinkedHashMap<>();
    position++;
    skipSpace();
    while (text.charAt(position) != '}') {
      skipSpace();
      String name = readString();
      skipSpace();
      expect(':');
      fields.put(name, value());
      skipSpace();
      if (text.charAt(position) == ',') {
        position++;
      }
      skipSpace();
    }
    position++;
    return fields;
  }

  private List<Object> readList() {
    List<Object> items = new ArrayList<>();
    position++;
    skipSpace();
    while (text.charAt(position) != ']') {
      items.add(value());
      skipSpace();
      if (text.charAt(position) == ',') {
        position++;
      }
      skipSpace();
    }
    position++;
    return items;
  }

  private String readString() {
    expect('"');
    StringBuilder result = new StringBuilder();
    for (char c = next(); c != '"'; c = next()) {
      if (c != '\\') {
        result.append(c);
        continue;
      }
      char escaped = next();
      switch (escaped) {
        case 'n' -> result.append('\n');
        case 't' -> result.append('\t');
        case 'r' -> result.append('\r');
        case 'b' -> result.append('\b');
        case 'f' -> result.append('\f');
        case 'u' -> {
          result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
          position += 4;
        }
        default -> result.append(escaped);
      }
    }
    return result.toString();
  }

  private Object readWord() {
    int start = position;
    while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
      position++;
    }
    String word = text.substring(start, position);
    switch (word) {
      case "true":
        return Boolean.TRUE;
      case "false":
        return Boolean.FALSE;
      case "null":
        return null;
      default:
        if (word.matches("-?[0-9]+")) {
          return Long.parseLong(word);
        }
        return Double.parseDouble(word);
    }
  }

  private void expect(char expected) {
    if (next() != expected) {
      throw new IllegalArgumentException("expected " + expected + " at " + (position - 1));
    }
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(out, value);
    return out.toString();
  }

  private static void write(StringBuilder out, Object value) {
    if (value instanceof Map<?, ?> fields) {
      String separator = "{";
      for (Map.Entry<?, ?> field : fields.entrySet()) {
        out.append(separator);
        writeString(out, (String) field.getKey());
        out.append(':');
        write(out, field.getValue());
        separator = ",";
      }
      out.append(fields.isEmpty() ? "{}" : "}");
    } else if (value instanceof List<?> items) {
      String separator = "[";
      for (Object item : items) {
        out.append(separator);
        write(out, item);
        separator = ",";
      }
      out.append(items.isEmpty() ? "[]" : "]");
    } else if (value instanceof String string) {
      writeString(out, string);
    } else {
      out.append(value);
    }
  }

  private static void writeString(StringBuilder out, String string) {
    out.append('"');
    for (char c : string.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < 0x20) {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    out.append('"');
  }
}
