package org.peridotroute.policy;

import java.util.List;

/** Decides over waiting jobs. Implementations are stateless and safe for use by several threads. */
public interface PlacementPolicy {
  /**
   * Makes one pass over the waiting jobs.
   *
   * @param view what is known
   * @return decisions in the order in which they are to be logged; empty where nothing can be done
   */
  List<Decision> decide(ClusterView view);
}
