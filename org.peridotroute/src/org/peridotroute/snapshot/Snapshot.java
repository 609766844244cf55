package org.peridotroute.snapshot;

import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.JobState;

/**
 * State of both streams, taken at the same time on one VM.
 *
 * @param jobs state of the journal
 * @param config state of the configuration
 */
public record Snapshot(JobState jobs, ConfigState config) {
  /** State before the first record of either stream. */
  public static final Snapshot EMPTY = new Snapshot(JobState.EMPTY, ConfigState.EMPTY);
}
