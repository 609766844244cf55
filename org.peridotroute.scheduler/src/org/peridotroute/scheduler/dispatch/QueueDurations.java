package org.peridotroute.scheduler.dispatch;

/**
 * Learns the task durations of one queue by a linear regression of the logarithm of actual
 * durations on the logarithm of declared ones. Until a task has run, it assumes that the mean
 * declared duration is the mean actual one.
 */
final class QueueDurations {
  /**
   * Slope assumed before any declared duration was compared; most of the spread of declared
   * durations is error.
   */
  private static final double PRIOR_SLOPE = 0.25;

  /** Number of observations that the prior counts as. */
  private static final double PRIOR_COUNT = 10;

  /** Variance of the logarithm of declared durations that the prior assumes. */
  private static final double PRIOR_VARIANCE = 0.8;

  private static final double MAX_SLOPE = 1;

  private long declaredCount;
  private double declaredLogSum;
  private long observedCount;
  private double declaredLogMean;
  private double actualLogMean;
  private double sumOfSquares;
  private double sumOfProducts;

  /** Adds a declared duration in milliseconds. */
  void addDeclared(long millis) {
    declaredCount++;
    declaredLogSum += Math.log((double) millis);
  }

  /** Adds the declared and the actual duration of a task that has run. */
  void addObserved(long declaredMillis, long tookMillis) {
    double declaredLog = Math.log((double) declaredMillis);
    double actualLog = Math.log((double) tookMillis);
    observedCount++;
    double deviation = declaredLog - declaredLogMean;
    declaredLogMean += deviation / observedCount;
    actualLogMean += (actualLog - actualLogMean) / observedCount;
    sumOfSquares += deviation * (declaredLog - declaredLogMean);
    sumOfProducts += deviation * (actualLog - actualLogMean);
  }

  /** Returns the expected duration of a task in milliseconds, at least 1. */
  long expectedMillis(long declaredMillis) {
    double declaredLog = Math.log((double) declaredMillis);
    if (observedCount > 0) {
      return toMillis(actualLogMean + slope() * (declaredLog - declaredLogMean));
    }
    double meanDeclaredLog = declaredCount == 0 ? declaredLog : declaredLogSum / declaredCount;
    return toMillis(meanDeclaredLog + PRIOR_SLOPE * (declaredLog - meanDeclaredLog));
  }

  private double slope() {
    double prior = PRIOR_COUNT * PRIOR_VARIANCE;
    double slope = (sumOfProducts + prior * PRIOR_SLOPE) / (sumOfSquares + prior);
    return Math.max(0, Math.min(MAX_SLOPE, slope));
  }

  private static long toMillis(double logarithm) {
    return Math.max(1, Math.round(Math.exp(logarithm)));
  }
}
