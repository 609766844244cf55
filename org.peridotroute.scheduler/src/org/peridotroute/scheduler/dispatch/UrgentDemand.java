package org.peridotroute.scheduler.dispatch;

/**
 * Predicts how many more accelerators urgent work may soon need: the recent peak of its demand
 * minus the current demand. The peak decays, so that capacity is not reserved for a burst that is
 * long past.
 */
final class UrgentDemand {
  /**
   * Time in which the peak decays to about a third (1/e); the duration of a few runs of urgent
   * tasks.
   */
  private static final double DECAY_MILLIS = 10_000;

  private double peak;
  private long peakAtMillis;

  /** Returns a copy whose updates leave this one as it is. */
  UrgentDemand copy() {
    UrgentDemand copy = new UrgentDemand();
    copy.peak = peak;
    copy.peakAtMillis = peakAtMillis;
    return copy;
  }

  /**
   * Records the current demand and returns the headroom to reserve.
   *
   * @param demand accelerators that urgent work holds or waits for
   * @param nowMillis steady time
   * @return accelerators that urgent work may soon need in addition
   */
  long updateHeadroom(long demand, long nowMillis) {
    double decayedPeak = peak * Math.exp(-(double) (nowMillis - peakAtMillis) / DECAY_MILLIS);
    peak = Math.max((double) demand, decayedPeak);
    peakAtMillis = nowMillis;
    return Math.max(0, Math.round(peak) - demand);
  }
}
