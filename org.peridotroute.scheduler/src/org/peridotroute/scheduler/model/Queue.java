package org.peridotroute.scheduler.model;

import java.util.List;

/**
 * A queue, as declared in the configuration.
 *
 * @param name name of the queue
 * @param host host at which callers address the queue
 * @param pathPrefix prefix of the paths at which callers address the queue
 * @param service service whose workers run its tasks
 * @param priority 0 for the most urgent
 * @param maxAttempts number of failed runs of a task after which the job fails
 * @param stretch factor of a job's own run time within which it should complete
 * @param objectiveMillis time allowed on top of that, in milliseconds
 * @param open whether callers are admitted without an API key
 * @param allowedRegions regions in which its tasks may run, empty for all
 */
public record Queue(
    String name,
    String host,
    String pathPrefix,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long objectiveMillis,
    boolean open,
    List<String> allowedRegions) {
  /** Copies the list. */
  public Queue {
    allowedRegions = List.copyOf(allowedRegions);
  }

  /**
   * Returns the terms of a job that the queue accepts now.
   *
   * @param regions regions in which its tasks may run, empty for all
   */
  public Submission.Terms terms(List<String> regions) {
    return new Submission.Terms(priority, maxAttempts, stretch, objectiveMillis, regions);
  }
}
