package org.peridotroute.standin;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Scripted behaviour of a task, parsed from the job's payload as words of the form key=value.
 * {@code run} is the run time in milliseconds, {@code echo} the text of the answer and {@code fail}
 * the index of the member that fails. Other words are ignored.
 *
 * @param runMillis run time in milliseconds, 0 if the payload has none
 * @param echo text of the answer, without spaces
 * @param failingMember index of the member that fails, -1 for none
 */
record TaskScript(long runMillis, String echo, int failingMember) {
  static TaskScript parse(String payload) {
    Map<String, String> words = new HashMap<>();
    for (String word : payload.trim().split("\\s+", -1)) {
      int separator = word.indexOf('=');
      if (separator > 0) {
        words.put(
            word.substring(0, separator).toLowerCase(Locale.ROOT), word.substring(separator + 1));
      }
    }
    return new TaskScript(
        parseNumber(words.get("run"), 0),
        words.getOrDefault("echo", "done"),
        (int) parseNumber(words.get("fail"), -1));
  }

  private static long parseNumber(String text, long defaultValue) {
    if (text == null || !text.matches("\\d{1,9}")) {
      return defaultValue;
    }
    return Long.parseLong(text);
  }
}
