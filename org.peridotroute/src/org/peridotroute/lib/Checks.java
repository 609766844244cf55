package org.peridotroute.lib;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.peridotroute.errors.InvalidValueException;

/**
 * Validation of values from callers, settings and the platform. Each method throws {@link
 * InvalidValueException} if the value is not valid.
 */
public final class Checks {
  private static final Pattern NAME = Pattern.compile("[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?");

  private Checks() {}

  /**
   * Checks the syntax of a name.
   *
   * @param what kind of object that the name identifies, such as "organisation"
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
   * Checks that a field is present.
   *
   * @param field the field
   * @param value its value
   * @param <T> type of the value
   * @return the value
   */
  public static <T> T present(String field, T value) {
    if (value == null) {
      throw InvalidValueException.missing(field);
    }
    return value;
  }

  /**
   * Checks that a number is in its allowed range.
   *
   * @param field the field
   * @param value its value
   * @param min smallest allowed value
   * @param max largest allowed value
   * @return the value
   */
  public static int range(String field, int value, int min, int max) {
    return (int) range(field, (long) value, min, max);
  }

  /**
   * Checks that a number is in its allowed range.
   *
   * @param field the field
   * @param value its value
   * @param min smallest allowed value
   * @param max largest allowed value
   * @return the value
   */
  public static long range(String field, long value, long min, long max) {
    if (value < min || value > max) {
      throw InvalidValueException.range(field, value, min, max);
    }
    return value;
  }

  /**
   * Checks that a text is present and not larger than a limit in UTF-8.
   *
   * @param field the field
   * @param value its value
   * @param maxBytes largest allowed size in bytes
   * @return the value
   */
  public static String maxBytes(String field, String value, int maxBytes) {
    int bytes = present(field, value).getBytes(StandardCharsets.UTF_8).length;
    if (bytes > maxBytes) {
      throw InvalidValueException.tooLong(field, bytes, maxBytes);
    }
    return value;
  }

  /**
   * Checks that a text is present, not larger than a limit in UTF-8, and without control
   * characters.
   *
   * @param field the field
   * @param value its value
   * @param maxBytes largest allowed size in bytes
   * @return the value
   */
  public static String printable(String field, String value, int maxBytes) {
    if (maxBytes(field, value, maxBytes).chars().anyMatch(Character::isISOControl)) {
      throw InvalidValueException.unprintable(field);
    }
    return value;
  }
}
