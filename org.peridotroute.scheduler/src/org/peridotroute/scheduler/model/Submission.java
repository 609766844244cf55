package org.peridotroute.scheduler.model;

import java.util.List;

/**
 * An accepted job. It keeps the terms that its queue had at the time of acceptance, so that a later
 * configuration does not change what the caller was promised. Where it runs is not one of them: its
 * tasks run on the service that the configuration in force gives the queue.
 *
 * @param id identity of the job
 * @param organisation organisation that submitted the job; empty if its queue is open and the
 *     caller presented no known API key
 * @param queue name of the queue
 * @param service service that the queue had at the time of acceptance; it counts only while no
 *     configuration that contains the queue is known
 * @param terms terms of the queue
 * @param acceptedAtMillis time of acceptance on the wall clock of the VM that accepted the job, in
 *     milliseconds since 1970
 * @param request the job as its caller declared it
 */
public record Submission(
    JobId id,
    String organisation,
    String queue,
    String service,
    Terms terms,
    long acceptedAtMillis,
    JobRequest request) {
  /** Records on the log omit empty values, so an absent organisation is the empty one. */
  public Submission {
    organisation = organisation == null ? "" : organisation;
  }

  /**
   * Terms of a queue.
   *
   * @param priority 0 for the most urgent
   * @param maxAttempts number of failed runs of a task after which the job fails
   * @param stretch factor of the job's own run time within which it should complete
   * @param objectiveMillis time allowed on top of that, in milliseconds
   * @param allowedRegions regions in which the tasks may run, empty for all; absent in records of
   *     earlier versions
   */
  public record Terms(
      int priority,
      int maxAttempts,
      double stretch,
      long objectiveMillis,
      List<String> allowedRegions) {
    /** Multiple of its objective after which completing a job is of no use to its caller. */
    public static final long EXPIRY_FACTOR = 3;

    /** Copies the list. */
    public Terms {
      allowedRegions = allowedRegions == null ? List.of() : List.copyOf(allowedRegions);
    }

    /** Creates terms that allow all regions. */
    public Terms(int priority, int maxAttempts, double stretch, long objectiveMillis) {
      this(priority, maxAttempts, stretch, objectiveMillis, List.of());
    }
  }
}
