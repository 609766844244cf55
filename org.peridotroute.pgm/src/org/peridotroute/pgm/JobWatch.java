package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.lib.JobKey;
import org.peridotroute.server.view.JobView;
import org.peridotroute.server.view.WatchView;

/**
 * Follows jobs from a revision and prints each change. Configured with setters, called once; used
 * by one thread.
 */
final class JobWatch {
  private final ApiClient client;
  private JobKey only;
  private long fromRevision = -1;
  private boolean showRevisions = true;

  JobWatch(ApiClient client) {
    this.client = client;
  }

  /** Follows this job alone, until it ends. */
  JobWatch setOnly(JobKey value) {
    only = value;
    return this;
  }

  /** Begins after this revision; a negative one means now. */
  JobWatch setFromRevision(long value) {
    fromRevision = value;
    return this;
  }

  /** Sets whether lines begin with the revision. */
  JobWatch setShowRevisions(boolean value) {
    showRevisions = value;
    return this;
  }

  /** Follows until the job has ended, and returns it as it then is; without a job, for ever. */
  JobView call(Console console) throws CommandException {
    while (true) {
      WatchView<JobView> page = next();
      for (WatchView.Change<JobView> change : page.events()) {
        if (only != null && !only.toString().equals(change.name())) {
          continue;
        }
        String line = JobLine.of(change.resource());
        console.out().println(showRevisions ? change.revision() + " " + line : line);
        if (only != null && change.resource().phase() == JobPhase.ENDED) {
          return change.resource();
        }
      }
      fromRevision = page.revision();
    }
  }

  private WatchView<JobView> next() throws CommandException {
    String query = fromRevision < 0 ? "" : "?from=" + fromRevision;
    return client.call(
        "GET", "/v1/watch/jobs" + query, null, new TypeReference<WatchView<JobView>>() {});
  }
}
