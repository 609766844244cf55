package org.peridotroute.server.service;

import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.JobState;
import org.peridotroute.lib.Organisation;
import org.peridotroute.server.view.JobView;
import org.peridotroute.snapshot.Snapshot;

/**
 * Holds the current state that results from the records read so far. Written only by the thread of
 * {@link FoldService}; may be read by any thread.
 */
public final class FoldedState {
  private static final int MAX_HISTORY_CHANGES = 4_096;

  private final ChangeHistory<JobView> jobHistory = new ChangeHistory<>(MAX_HISTORY_CHANGES);
  private final ChangeHistory<Organisation> organisationHistory =
      new ChangeHistory<>(MAX_HISTORY_CHANGES);
  private volatile JobState jobs = JobState.EMPTY;
  private volatile ConfigState config = ConfigState.EMPTY;

  /** Returns the state built from the journal. */
  public JobState jobs() {
    return jobs;
  }

  /** Returns the state built from the configuration stream. */
  public ConfigState config() {
    return config;
  }

  /** Returns the most recent changes of jobs. */
  public ChangeHistory<JobView> jobHistory() {
    return jobHistory;
  }

  /** Returns the most recent changes of organisations. */
  public ChangeHistory<Organisation> organisationHistory() {
    return organisationHistory;
  }

  /**
   * Returns both states as a snapshot.
   *
   * @return the snapshot
   */
  public Snapshot snapshot() {
    return new Snapshot(jobs, config);
  }

  /**
   * Replaces each state by that of a snapshot if newer; watches that lag behind must list again.
   */
  void loadIfNewer(Snapshot snapshot) {
    if (snapshot.jobs().offset() > jobs.offset()) {
      jobs = snapshot.jobs();
      jobHistory.reset(jobs.offset());
    }
    if (snapshot.config().offset() > config.offset()) {
      config = snapshot.config();
      organisationHistory.reset(config.offset());
    }
  }

  void publish(JobState state) {
    jobs = state;
  }

  void publish(ConfigState state) {
    config = state;
  }
}
