package lab3;

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

  static Object parse(String text) {
    Json json = new Json(text);
    return json.value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    space();
    char c = text.charAt(at);
    if (c == '{') {
      return map();
    }
    if (c == '[') {
      return list();
    }
    if (c == '"') {
      return string();
    }
    int from = at;
    while (at < text.length() && "+-.0123456789eEtrufalsn".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    };
  }

  private Map<String, Object> map() {
    Map<String, Object> fields = new LinkedHashMap<>();
    at++;
    space();
    while (text.charAt(at) != '}') {
      space();
      String name = string();
      space();
      at++;
      fields.put(name, value());
      space();
      if (text.charAt(at) == ',') {
        at++;
        space();
      }
    }
    at++;
    return fields;
  }

  private List<Object> list() {
    List<Object> items = new ArrayList<>();
    at++;
    space();
    while (text.charAt(at) != ']') {
      items.add(value());
      space();
      if (text.charAt(at) == ',') {
        at++;
        space();
      }
    }
    at++;
    return items;
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
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

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(out, value);
    return out.toString();
  }

  private static void write(StringBuilder out, Object value) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(out, entry.getKey());
        out.append(':');
        write(out, entry.getValue());
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof Iterable<?> items) {
      out.append('[');
      String separator = "";
      for (Object item : items) {
        out.append(separator);
        write(out, item);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char c : string.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }
}
