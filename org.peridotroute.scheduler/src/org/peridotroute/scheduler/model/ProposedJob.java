package org.peridotroute.scheduler.model;

import org.peridotroute.lib.Checks;

/**
 * A job that has not been submitted, as a job file describes it.
 *
 * @param organisation name of the organisation that would submit it; empty for a caller without an
 *     API key
 * @param queue name of the queue
 * @param request the job
 */
public record ProposedJob(String organisation, String queue, JobRequest request) {
  /** Checks that the queue and the request are given. */
  public ProposedJob {
    organisation = organisation == null ? "" : organisation;
    queue = Checks.present("job.queue", queue);
    request = Checks.present("job.request", request);
  }
}
