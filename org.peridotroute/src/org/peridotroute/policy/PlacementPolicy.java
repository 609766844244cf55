package org.peridotroute.policy;

import java.util.List;

/** Places queued jobs. Implementations are stateless and thread-safe. */
public interface PlacementPolicy {
  /**
   * Runs one scheduling pass over the queued jobs.
   *
   * @param view the jobs, guarantees and workers to decide on
   * @return decisions in the order in which they must be logged; empty if there is nothing to do
   */
  List<Decision> decide(ClusterView view);
}
