package org.peridotroute.scheduler.node;

/**
 * Result of a submission.
 *
 * @param outcome what became of it
 * @param retryAfterSeconds if it was refused, the time after which a repeat has a chance; otherwise
 *     0
 */
public record SubmitResult(RequestOutcome outcome, int retryAfterSeconds) {
  /** Returns the result of a submission that was not refused. */
  static SubmitResult of(RequestOutcome outcome) {
    return new SubmitResult(outcome, 0);
  }
}
