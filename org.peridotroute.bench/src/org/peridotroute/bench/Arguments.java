package org.peridotroute.bench;

import java.util.List;

/**
 * Command-line options of a bench, each a name followed by a value. Immutable.
 *
 * @param words the words of the command line
 */
public record Arguments(List<String> words) {
  /** Makes a defensive copy of the list. */
  public Arguments {
    words = List.copyOf(words);
  }

  /**
   * Returns the value of a numeric option.
   *
   * @param name name of the option, such as "--seed"
   * @param defaultValue value if the option is absent
   * @return the value
   */
  public long number(String name, long defaultValue) {
    return Long.parseLong(text(name, Long.toString(defaultValue)));
  }

  /**
   * Returns the value of an option.
   *
   * @param name name of the option, such as "--jar"
   * @param defaultValue value if the option is absent or the last word
   * @return the value
   */
  public String text(String name, String defaultValue) {
    int index = words.indexOf(name);
    return index >= 0 && index + 1 < words.size() ? words.get(index + 1) : defaultValue;
  }
}
