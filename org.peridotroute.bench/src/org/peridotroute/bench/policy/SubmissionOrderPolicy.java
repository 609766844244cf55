package org.peridotroute.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.lib.Member;
import org.peridotroute.policy.ClusterView;
import org.peridotroute.policy.Decision;
import org.peridotroute.policy.FreeAccelerators;
import org.peridotroute.policy.PlacementPolicy;

/**
 * Baseline policies that place jobs in submission order, without classes, guarantees or reclaims.
 * With blocking it is first-fit FIFO; without, later jobs backfill past jobs that do not fit.
 *
 * @param blocking whether a job that does not fit blocks all later ones
 */
record SubmissionOrderPolicy(boolean blocking) implements PlacementPolicy {
  @Override
  public List<Decision> decide(ClusterView view) {
    FreeAccelerators free = FreeAccelerators.allOf(view.directory().workers());
    view.jobs().allocations().values().forEach(held -> free.markHeld(held.acceleratorIds()));
    List<Decision> decisions = new ArrayList<>();
    List<Job> queued =
        view.jobs().jobs().values().stream()
            .filter(job -> job.phase() == JobPhase.QUEUED)
            .sorted(Comparator.comparingLong(Job::createdRevision))
            .toList();
    for (Job job : queued) {
      Optional<List<Member>> members =
          blocking ? free.findFirstFit(job.spec().shape()) : free.findBestFit(job.spec().shape());
      if (members.isPresent()) {
        free.markMembersHeld(members.get());
        decisions.add(new Decision.Place(job.key(), job.attempts() + 1, false, members.get()));
      } else if (blocking) {
        return decisions;
      }
    }
    return decisions;
  }
}
