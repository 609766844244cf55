package org.peridotroute.lib;

/**
 * A guaranteed shape of an organisation and the number of gangs of that shape that the organisation
 * can run at the same time.
 *
 * @param shape the shape
 * @param count number of gangs at the same time; 1 to {@value #MAX_COUNT}
 */
public record GuaranteedShape(Shape shape, int count) {
  /** Maximum count per shape. */
  public static final int MAX_COUNT = 1024;

  /** Validates presence and ranges. */
  public GuaranteedShape {
    Checks.present("guarantee.shape", shape);
    Checks.range("guarantee.count", count, 1, MAX_COUNT);
  }
}
