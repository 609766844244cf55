package org.peridotroute.policy;

import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.JobState;
import org.peridotroute.lib.Directory;

/**
 * What a policy decides on. Immutable.
 *
 * @param jobs the folded journal
 * @param config the folded configuration
 * @param directory workers as the platform's list shows them
 * @param wallMillis wall clock of the deciding VM, for ages alone
 */
public record ClusterView(JobState jobs, ConfigState config, Directory directory, long wallMillis) {
  /**
   * Returns whether a policy would see the same in both views, ages aside. Compares by identity,
   * which suffices since what did not change is shared, and costs nothing.
   *
   * @param other a later view
   * @return whether nothing that a policy looks at has changed
   */
  @SuppressWarnings("ReferenceEquality")
  public boolean hasSameInputAs(ClusterView other) {
    return jobs.jobs() == other.jobs.jobs()
        && jobs.allocations() == other.jobs.allocations()
        && config.organisations() == other.config.organisations()
        && directory == other.directory;
  }
}
