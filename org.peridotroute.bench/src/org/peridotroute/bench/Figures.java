package org.peridotroute.bench;

import java.io.PrintStream;
import java.util.Locale;

/** Prints the figures of a bench as JSON, one per line. Used by one thread. */
public final class Figures {
  private final PrintStream out;

  /**
   * Creates a printer.
   *
   * @param out stream to print to
   */
  public Figures(PrintStream out) {
    this.out = out;
  }

  /**
   * Prints a figure without target and baseline.
   *
   * @param name name of the figure
   * @param value the measured value
   * @param unit unit of the value, empty for none
   */
  public void print(String name, Number value, String unit) {
    print(name, value, unit, "", "");
  }

  /**
   * Prints a figure.
   *
   * @param name name of the figure
   * @param value the measured value
   * @param unit unit of the value, empty for none
   * @param target value to reach, empty for none
   * @param baseline value to compare with, empty for none
   */
  public void print(String name, Number value, String unit, String target, String baseline) {
    out.println(
        "{\"figure\":\"%s\",\"value\":%s,\"unit\":\"%s\",\"target\":\"%s\",\"baseline\":\"%s\"}"
            .formatted(name, format(value), unit, target, baseline));
  }

  private static String format(Number value) {
    boolean whole = value instanceof Long || value instanceof Integer;
    return whole ? value.toString() : String.format(Locale.ROOT, "%.4g", value.doubleValue());
  }
}
