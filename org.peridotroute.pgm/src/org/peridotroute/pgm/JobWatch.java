package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.lib.JobKey;
import org.peridotroute.server.view.JobView;
import org.peridotroute.server.view.WatchView;

/**
 * Watches jobs from a revision on and prints each change. Configured with the setters, then run
 * once. Not thread-safe.
 */
final class JobWatch {
  private final ApiClient client;
  private JobKey job;
  private long fromRevision = -1;
  private boolean showRevisions = true;

  JobWatch(ApiClient client) {
    this.client = client;
  }

  /** Restricts the watch to one job; the watch then ends with the job. */
  JobWatch setJob(JobKey value) {
    job = value;
    return this;
  }

  /** Sets the revision to start after; a negative value starts at the current revision. */
  JobWatch setFromRevision(long value) {
    fromRevision = value;
    return this;
  }

  /** Sets whether each line starts with the revision. */
  JobWatch setShowRevisions(boolean value) {
    showRevisions = value;
    return this;
  }

  /**
   * Prints changes until the job has ended. Without a job, runs until the process is stopped.
   *
   * @return the ended job
   */
  JobView run(Console console) throws CommandException {
    while (true) {
      WatchView<JobView> page = fetchChanges();
      for (WatchView.Change<JobView> change : page.events()) {
        if (job != null && !job.toString().equals(change.name())) {
          continue;
        }
        String line = JobLine.format(change.resource());
        console.out().println(showRevisions ? change.revision() + " " + line : line);
        if (job != null && change.resource().phase() == JobPhase.ENDED) {
          return change.resource();
        }
      }
      fromRevision = page.revision();
    }
  }

  private WatchView<JobView> fetchChanges() throws CommandException {
    String query = fromRevision < 0 ? "" : "?from=" + fromRevision;
    return client.call(
        "GET", "/v1/watch/jobs" + query, null, new TypeReference<WatchView<JobView>>() {});
  }
}
