package org.peridotroute.policy;

import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.JobState;
import org.peridotroute.lib.Directory;

/**
 * Input of a placement policy. Immutable.
 *
 * @param jobs the state built from the journal
 * @param config the state built from the configuration stream
 * @param directory the workers in the platform's directory
 * @param wallMillis wall clock of the deciding VM; used only to compute ages
 */
public record ClusterView(JobState jobs, ConfigState config, Directory directory, long wallMillis) {
  /**
   * Returns whether both views give a policy the same input apart from ages. Compares references,
   * which is sufficient because unchanged parts are shared between states, and takes constant time.
   *
   * @param other a later view
   * @return whether no input of a policy has changed
   */
  @SuppressWarnings("ReferenceEquality")
  public boolean hasSameInputAs(ClusterView other) {
    return jobs.jobs() == other.jobs.jobs()
        && jobs.allocations() == other.jobs.allocations()
        && config.organisations() == other.config.organisations()
        && directory == other.directory;
  }
}
