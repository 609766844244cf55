package org.peridotroute.server.service;

import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.JobState;
import org.peridotroute.lib.Organisation;
import org.peridotroute.server.view.JobView;
import org.peridotroute.snapshot.Snapshot;

/**
 * The folded state as the rest of the process sees it. Written by the fold's thread alone, read by
 * any.
 */
public final class FoldedState {
  private static final int HISTORY_CHANGES = 4_096;

  private final ChangeHistory<JobView> jobHistory = new ChangeHistory<>(HISTORY_CHANGES);
  private final ChangeHistory<Organisation> organisationHistory =
      new ChangeHistory<>(HISTORY_CHANGES);
  private volatile JobState jobs = JobState.EMPTY;
  private volatile ConfigState config = ConfigState.EMPTY;

  /** Returns the folded journal. */
  public JobState jobs() {
    return jobs;
  }

  /** Returns the folded configuration. */
  public ConfigState config() {
    return config;
  }

  /** Returns the last changes of jobs. */
  public ChangeHistory<JobView> jobHistory() {
    return jobHistory;
  }

  /** Returns the last changes of organisations. */
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

  /** Takes state over from elsewhere where it is newer; watches that are behind list again. */
  void load(Snapshot snapshot) {
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
