package org.peridotroute.scheduler.dispatch;

/**
 * What the tasks of one queue take, against what was declared: a linear regression of the logarithm
 * of true durations on that of declared ones. Before anything has run, what is declared on average
 * counts as usual.
 */
final class QueueDurations {
  /** Weight of a single estimate before any was compared; most of its spread is error. */
  private static final double PRIOR_SLOPE = 0.25;

  /** Observations that the prior weight counts as. */
  private static final double PRIOR_COUNT = 10;

  /** Variance of the logarithm of declared durations that the prior assumes. */
  private static final double PRIOR_VARIANCE = 0.8;

  private static final double MOST_SLOPE = 1;

  private long declarations;
  private double declaredSum;
  private long observations;
  private double declaredMean;
  private double trueMean;
  private double declaredSquares;
  private double products;

  /** Takes a declared duration in. */
  void declared(long millis) {
    declarations++;
    declaredSum += Math.log((double) millis);
  }

  /** Takes in what a task took. */
  void observed(long declaredMillis, long tookMillis) {
    double x = Math.log((double) declaredMillis);
    double y = Math.log((double) tookMillis);
    observations++;
    double fromMean = x - declaredMean;
    declaredMean += fromMean / observations;
    trueMean += (y - trueMean) / observations;
    declaredSquares += fromMean * (x - declaredMean);
    products += fromMean * (y - trueMean);
  }

  /** Returns the duration to expect of a task. */
  long expectedMillis(long declaredMillis) {
    double x = Math.log((double) declaredMillis);
    if (observations > 0) {
      return rounded(trueMean + slope() * (x - declaredMean));
    }
    double usual = declarations == 0 ? x : declaredSum / declarations;
    return rounded(usual + PRIOR_SLOPE * (x - usual));
  }

  private double slope() {
    double prior = PRIOR_COUNT * PRIOR_VARIANCE;
    double slope = (products + prior * PRIOR_SLOPE) / (declaredSquares + prior);
    return Math.max(0, Math.min(MOST_SLOPE, slope));
  }

  private static long rounded(double logarithm) {
    return Math.max(1, Math.round(Math.exp(logarithm)));
  }
}
