package org.peridotroute.scheduler.conduct;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Evidence against one incarnation of a worker. Each piece counts by the logarithm of how much more
 * likely it is on a bad worker than on its peers, and fades with time. Immutable.
 */
public final class Suspicion {
  /** No evidence. */
  public static final Suspicion NONE = new Suspicion(Map.of(), 0);

  /**
   * Time after which evidence counts half. Several faults of a worker that fails often fall within
   * it, and unrelated ones of a sound worker rarely do.
   */
  private static final double HALF_LIFE_MILLIS = 15_000;

  private final Map<EvidenceKind, Double> weights;
  private final long asOfMillis;

  private Suspicion(Map<EvidenceKind, Double> weights, long asOfMillis) {
    this.weights = weights;
    this.asOfMillis = asOfMillis;
  }

  /**
   * Returns this evidence with a further piece, which may speak for the worker. The evidence of one
   * kind never falls below 0, so good conduct in the past does not excuse bad conduct now.
   *
   * @param weight logarithm of the likelihood ratio, negative if it speaks for the worker
   */
  public Suspicion with(EvidenceKind kind, double weight, long nowMillis) {
    double fading = fading(nowMillis);
    Map<EvidenceKind, Double> next = new EnumMap<>(EvidenceKind.class);
    weights.forEach((key, value) -> next.put(key, value * fading));
    next.merge(kind, Math.max(0, weight), (old, added) -> Math.max(0, old + weight));
    return new Suspicion(next, nowMillis);
  }

  private double fading(long nowMillis) {
    return Math.pow(0.5, Math.max(0, nowMillis - asOfMillis) / HALF_LIFE_MILLIS);
  }

  /** Returns the weight of all evidence as of a time. */
  public double total(long nowMillis) {
    double sum = 0;
    for (double weight : weights.values()) {
      sum += weight;
    }
    return sum * fading(nowMillis);
  }

  /** Returns the weights of the evidence as of a time, for log events. */
  public String describe(long nowMillis) {
    double fading = fading(nowMillis);
    return weights.entrySet().stream()
        .filter(entry -> entry.getValue() * fading > 0)
        .map(
            entry ->
                String.format(
                    Locale.ROOT,
                    "%s=%.1f",
                    entry.getKey().name().toLowerCase(Locale.ROOT),
                    entry.getValue() * fading))
        .collect(Collectors.joining(" "));
  }
}
