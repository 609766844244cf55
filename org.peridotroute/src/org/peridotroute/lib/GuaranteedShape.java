package org.peridotroute.lib;

/**
 * A shape that an organisation can always have, several times at once.
 *
 * @param shape the shape
 * @param count how many of it at once; 1 to {@value #MAX_COUNT}
 */
public record GuaranteedShape(Shape shape, int count) {
  /** Most of one shape. */
  public static final int MAX_COUNT = 1024;

  /** Checks the ranges. */
  public GuaranteedShape {
    Checks.present("guarantee.shape", shape);
    Checks.range("guarantee.count", count, 1, MAX_COUNT);
  }
}
