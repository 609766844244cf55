package org.peridotroute.bench;

import java.util.List;

/**
 * Options of a bench, each a name and a value. Immutable.
 *
 * @param words the command line
 */
public record Arguments(List<String> words) {
  /** Copies the list. */
  public Arguments {
    words = List.copyOf(words);
  }

  /**
   * Returns an option that is a number.
   *
   * @param name its name, such as "--seed"
   * @param fallback its default
   * @return its value
   */
  public long number(String name, long fallback) {
    return Long.parseLong(text(name, Long.toString(fallback)));
  }

  /**
   * Returns an option.
   *
   * @param name its name
   * @param fallback its default
   * @return its value
   */
  public String text(String name, String fallback) {
    int at = words.indexOf(name);
    return at >= 0 && at + 1 < words.size() ? words.get(at + 1) : fallback;
  }
}
