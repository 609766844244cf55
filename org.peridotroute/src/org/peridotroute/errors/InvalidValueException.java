package org.peridotroute.errors;

/**
 * Thrown if a value from a caller, the settings or the platform is missing, malformed or out of
 * range. The message names the field.
 */
public final class InvalidValueException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  private InvalidValueException(String message) {
    super(message);
  }

  /**
   * Creates the exception for a malformed name.
   *
   * @param what kind of object that the name identifies, such as "organisation"
   * @param value the rejected name
   * @return the exception
   */
  public static InvalidValueException name(String what, String value) {
    return new InvalidValueException(Messages.INVALID_NAME.formatted(what, value));
  }

  /**
   * Creates the exception for a malformed network address.
   *
   * @param value the rejected address
   * @return the exception
   */
  public static InvalidValueException address(String value) {
    return new InvalidValueException(Messages.INVALID_ADDRESS.formatted(value));
  }

  /**
   * Creates the exception for a number outside its range.
   *
   * @param field name of the field
   * @param value the rejected number
   * @param min smallest allowed value
   * @param max largest allowed value
   * @return the exception
   */
  public static InvalidValueException range(String field, long value, long min, long max) {
    return new InvalidValueException(Messages.OUT_OF_RANGE.formatted(field, value, min, max));
  }

  /**
   * Creates the exception for a missing field.
   *
   * @param field name of the field
   * @return the exception
   */
  public static InvalidValueException missing(String field) {
    return new InvalidValueException(Messages.MISSING.formatted(field));
  }

  /**
   * Creates the exception for a text that is too long.
   *
   * @param field name of the field
   * @param bytes size of the text in bytes
   * @param maxBytes largest allowed size in bytes
   * @return the exception
   */
  public static InvalidValueException tooLong(String field, long bytes, long maxBytes) {
    return new InvalidValueException(Messages.TOO_LONG.formatted(field, bytes, maxBytes));
  }

  /**
   * Creates the exception for a text with control characters.
   *
   * @param field name of the field
   * @return the exception
   */
  public static InvalidValueException unprintable(String field) {
    return new InvalidValueException(Messages.UNPRINTABLE.formatted(field));
  }
}
