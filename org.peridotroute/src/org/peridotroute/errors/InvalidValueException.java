package org.peridotroute.errors;

/** A value from outside is missing, malformed or out of range. The message names the field. */
public final class InvalidValueException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  private InvalidValueException(String message) {
    super(message);
  }

  /**
   * Creates the exception for a malformed name.
   *
   * @param what what the name is of, such as "organisation"
   * @param value the offending text
   * @return the exception
   */
  public static InvalidValueException name(String what, String value) {
    return new InvalidValueException(Messages.INVALID_NAME.formatted(what, value));
  }

  /**
   * Creates the exception for a number outside its range.
   *
   * @param field the field
   * @param value the offending number
   * @param min the least allowed
   * @param max the greatest allowed
   * @return the exception
   */
  public static InvalidValueException range(String field, long value, long min, long max) {
    return new InvalidValueException(Messages.OUT_OF_RANGE.formatted(field, value, min, max));
  }

  /**
   * Creates the exception for an absent field.
   *
   * @param field the field
   * @return the exception
   */
  public static InvalidValueException missing(String field) {
    return new InvalidValueException(Messages.MISSING.formatted(field));
  }

  /**
   * Creates the exception for a text over its limit.
   *
   * @param field the field
   * @param bytes its size
   * @param maxBytes the limit
   * @return the exception
   */
  public static InvalidValueException tooLong(String field, long bytes, long maxBytes) {
    return new InvalidValueException(Messages.TOO_LONG.formatted(field, bytes, maxBytes));
  }
}
