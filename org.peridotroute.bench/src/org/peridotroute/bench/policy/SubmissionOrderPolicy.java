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
import org.peridotroute.policy.PlacementPolicy;
import org.peridotroute.policy.Room;

/**
 * The plain baselines: jobs in the order of their submission, no classes, no guarantees, no
 * reclaiming. With blocking, first in first out; without, whoever fits goes ahead.
 *
 * @param blocking whether a job that does not fit keeps all later ones waiting
 */
record SubmissionOrderPolicy(boolean blocking) implements PlacementPolicy {
  @Override
  public List<Decision> decide(ClusterView view) {
    Room free = Room.allFree(view.directory().workers());
    view.jobs().allocations().values().forEach(held -> free.take(held.acceleratorIds()));
    List<Decision> decisions = new ArrayList<>();
    List<Job> waiting =
        view.jobs().jobs().values().stream()
            .filter(job -> job.phase() == JobPhase.QUEUED)
            .sorted(Comparator.comparingLong(Job::createdRevision))
            .toList();
    for (Job job : waiting) {
      Optional<List<Member>> members =
          blocking ? free.findFirst(job.spec().shape()) : free.find(job.spec().shape());
      if (members.isPresent()) {
        free.takeMembers(members.get());
        decisions.add(new Decision.Place(job.key(), job.attempts() + 1, false, members.get()));
      } else if (blocking) {
        return decisions;
      }
    }
    return decisions;
  }
}
