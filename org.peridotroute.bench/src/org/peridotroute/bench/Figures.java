package org.peridotroute.bench;

import java.io.PrintStream;
import java.util.Locale;

/** Prints figures, one a line as JSON. Used by one thread. */
public final class Figures {
  private final PrintStream out;

  /**
   * Creates a printer.
   *
   * @param out where to
   */
  public Figures(PrintStream out) {
    this.out = out;
  }

  /**
   * Prints a figure without a target.
   *
   * @param name its name
   * @param value its value
   * @param unit its unit
   */
  public void print(String name, Number value, String unit) {
    print(name, value, unit, "", "");
  }

  /**
   * Prints a figure.
   *
   * @param name its name
   * @param value its value
   * @param unit its unit
   * @param target what it should be
   * @param baseline what it is compared with
   */
  public void print(String name, Number value, String unit, String target, String baseline) {
    out.println(
        "{\"figure\":\"%s\",\"value\":%s,\"unit\":\"%s\",\"target\":\"%s\",\"baseline\":\"%s\"}"
            .formatted(name, number(value), unit, target, baseline));
  }

  private static String number(Number value) {
    boolean whole = value instanceof Long || value instanceof Integer;
    return whole ? value.toString() : String.format(Locale.ROOT, "%.4g", value.doubleValue());
  }
}
