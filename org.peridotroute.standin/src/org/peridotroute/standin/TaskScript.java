package org.peridotroute.standin;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * What a trivial task does, read from the job's payload: words of the form key=value. {@code run}
 * is the run time in milliseconds, {@code echo} the text of the answer, {@code fail} the number of
 * the member that fails. Other words are passed over.
 *
 * @param runMillis run time
 * @param echo text of the answer
 * @param failingMember number of the member that fails, -1 for none
 */
record TaskScript(long runMillis, String echo, int failingMember) {
  static TaskScript parse(String payload) {
    Map<String, String> words = new HashMap<>();
    for (String word : payload.trim().split("\\s+", -1)) {
      int at = word.indexOf('=');
      if (at > 0) {
        words.put(word.substring(0, at).toLowerCase(Locale.ROOT), word.substring(at + 1));
      }
    }
    return new TaskScript(
        number(words.get("run"), 0),
        words.getOrDefault("echo", "done"),
        (int) number(words.get("fail"), -1));
  }

  private static long number(String text, long fallback) {
    if (text == null || !text.matches("\\d{1,9}")) {
      return fallback;
    }
    return Long.parseLong(text);
  }
}
