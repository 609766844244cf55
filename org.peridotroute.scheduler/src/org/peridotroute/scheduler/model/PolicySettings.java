package org.peridotroute.scheduler.model;

import java.util.Map;
import java.util.Set;

/**
 * Optional policies of a deployment.
 *
 * @param features the features that are switched on
 * @param closureMillis time after which a closed data centre must get no more starts, 0 if data
 *     centres are never closed
 * @param coldFactor factor by which a task takes longer on a worker that has just started
 * @param restoreMillis time that a task takes to resume from its checkpoint
 * @param regionsByDataCentre region of each data centre
 */
public record PolicySettings(
    Set<Feature> features,
    long closureMillis,
    double coldFactor,
    long restoreMillis,
    Map<String, String> regionsByDataCentre) {
  /** No optional policies. */
  public static final PolicySettings NONE = new PolicySettings(Set.of(), 0, 1, 0, Map.of());

  /** Copies the collections. */
  public PolicySettings {
    features = Set.copyOf(features);
    regionsByDataCentre = Map.copyOf(regionsByDataCentre);
  }

  /** Returns whether a feature is switched on. */
  public boolean has(Feature feature) {
    return features.contains(feature);
  }
}
