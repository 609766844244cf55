package org.peridotroute.lib;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.peridotroute.errors.InvalidValueException;

/** Guards for values that come from outside. Each throws {@link InvalidValueException}. */
public final class Checks {
  private static final Pattern NAME = Pattern.compile("[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?");

  private Checks() {}

  /**
   * Checks a name.
   *
   * @param what what the name is of
   * @param value the name
   * @return the name
   */
  public static String name(String what, String value) {
    if (value == null) {
      throw InvalidValueException.missing(what);
    }
    if (!NAME.matcher(value).matches()) {
      throw InvalidValueException.name(what, value);
    }
    return value;
  }

  /**
   * Checks that a field is there.
   *
   * @param field the field
   * @param value its value
   * @param <T> its type
   * @return the value
   */
  public static <T> T present(String field, T value) {
    if (value == null) {
      throw InvalidValueException.missing(field);
    }
    return value;
  }

  /**
   * Checks a number against its range.
   *
   * @param field the field
   * @param value its value
   * @param min the least allowed
   * @param max the greatest allowed
   * @return the value
   */
  public static int range(String field, int value, int min, int max) {
    return (int) range(field, (long) value, min, max);
  }

  /**
   * Checks a number against its range.
   *
   * @param field the field
   * @param value its value
   * @param min the least allowed
   * @param max the greatest allowed
   * @return the value
   */
  public static long range(String field, long value, long min, long max) {
    if (value < min || value > max) {
      throw InvalidValueException.range(field, value, min, max);
    }
    return value;
  }

  /**
   * Checks the size of a text in UTF-8.
   *
   * @param field the field
   * @param value its value
   * @param maxBytes the limit
   * @return the value
   */
  public static String maxBytes(String field, String value, int maxBytes) {
    int bytes = present(field, value).getBytes(StandardCharsets.UTF_8).length;
    if (bytes > maxBytes) {
      throw InvalidValueException.tooLong(field, bytes, maxBytes);
    }
    return value;
  }
}
