package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  /** Parses a document. */
  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("text after the document");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  static long number(Map<String, Object> object, String field, long absent) {
    return object.get(field) instanceof Number number ? number.longValue() : absent;
  }

  static String text(Map<String, Object> object, String field) {
    return object.get(field) instanceof String string ? string : "";
  }

  /** Writes a string with its quotes. */
  static String quote(String value) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : value.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append("\\u%04x".formatted((int) c));
      } else {
        out.append(c);
      }
    }
    return out.append('"').toString();
  }

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    space();
    char c = text.charAt(at);
    return switch (c) {
      case '{' -> map();
      case '[' -> list();
      case '"' -> string();
      default -> literal();
    };
  }

  private Map<String, Object> map() {
    Map<String, Object> map = new LinkedHashMap<>();
    at++;
    space();
    if (text.charAt(at) == '}') {
      at++;
      return map;
    }
    while (true) {
      space();
      String name = string();
      space();
      expect(':');
      map.put(name, value());
      space();
      if (text.charAt(at) == '}') {
        at++;
        return map;
      }
      expect(',');
    }
  }

  private List<Object> list() {
    List<Object> list = new ArrayList<>();
    at++;
    space();
    if (text.charAt(at) == ']') {
      at++;
      return list;
    }
    while (true) {
      list.add(value());
      space();
      if (text.charAt(at) == ']') {
        at++;
        return list;
      }
      expect(',');
    }
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }

  private Object literal() {
    int from = at;
    while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default ->
          word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
    };
  }

  private void expect(char c) {
    if (text.charAt(at) != c) {
      throw new IllegalArgumentException("expected " + c + " at " + at);
    }
    at++;
  }
}
