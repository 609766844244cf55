package org.peridotroute.scheduler.load;

import java.util.Optional;
import org.peridotroute.scheduler.model.Submission;

/** Decides whether a job is accepted. Implementations are stateless. */
public interface AdmissionPolicy {
  /**
   * Decides on a job.
   *
   * @param submission the job
   * @param guaranteedAccelerators accelerators that are guaranteed to its organisation
   * @param load load of its queue, empty if no load is known that has lasted
   * @return the refusal, or empty if the job is accepted
   */
  Optional<Refusal> decide(
      Submission submission, long guaranteedAccelerators, Optional<LoadHistory.Lasting> load);

  /**
   * A refusal, with what decided it.
   *
   * @param summary the load summary that it is based on
   * @param ageMillis age of the summary
   * @param waitMillis time until the job could start
   * @param usefulMillis time until the job would have to start to be of use
   * @param retryAfterSeconds time after which a repeat has a chance
   */
  record Refusal(
      LoadSummary summary,
      long ageMillis,
      long waitMillis,
      long usefulMillis,
      int retryAfterSeconds) {}
}
