package org.peridotroute.snapshot;

import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.JobState;

/**
 * Both folded states, as of one moment on one VM.
 *
 * @param jobs the folded journal
 * @param config the folded configuration
 */
public record Snapshot(JobState jobs, ConfigState config) {
  /** The state before the first record of either stream. */
  public static final Snapshot EMPTY = new Snapshot(JobState.EMPTY, ConfigState.EMPTY);
}
