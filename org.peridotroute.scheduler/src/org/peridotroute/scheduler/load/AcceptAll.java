package org.peridotroute.scheduler.load;

import java.util.Optional;
import org.peridotroute.scheduler.model.Submission;

/** Accepts every job, however long it has to wait. */
public final class AcceptAll implements AdmissionPolicy {
  @Override
  public Optional<Refusal> decide(
      Submission submission, long guaranteedAccelerators, Optional<LoadHistory.Lasting> load) {
    return Optional.empty();
  }
}
