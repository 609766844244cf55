package org.peridotroute.scheduler.place;

/**
 * Decides whether the known closures are recent enough to send a start. A closing that was stored
 * after the closures were read is unknown here, and must take effect within the bound all the same.
 */
public final class ClosureBound {
  /**
   * Time reserved within the bound for a start that is under way: the timeout of a call and the
   * delay of its connection.
   */
  private static final long SEND_MARGIN_MILLIS = 1_500;

  private final long closureMillis;

  /**
   * Creates the bound.
   *
   * @param closureMillis time after which a closed data centre must get no more starts, 0 if data
   *     centres are never closed
   */
  public ClosureBound(long closureMillis) {
    this.closureMillis = closureMillis;
  }

  /**
   * Returns whether a start may be sent to a data centre that is not among the closed ones.
   *
   * @param closures the known closures
   * @param nowMillis steady time
   */
  public boolean permitsStarts(Closures closures, long nowMillis) {
    return closureMillis == 0 || closures.asOfMillis() >= nowMillis - maxAgeMillis();
  }

  private long maxAgeMillis() {
    return Math.max(0, closureMillis - SEND_MARGIN_MILLIS);
  }
}
