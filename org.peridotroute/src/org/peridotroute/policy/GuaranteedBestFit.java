package org.peridotroute.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.OrganisationId;
import org.peridotroute.lib.Shape;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.lib.WorkerInfo;

/**
 * Places inside a guarantee where there is one, else borrows; packs into the tightest rack that
 * holds the gang; reclaims from borrowers; holds a rack for a gang that has waited long. The
 * invariant of each decision is that every unused guaranteed shape still fits, all at once, into
 * accelerators that are free or held by borrowers.
 *
 * <p>Non-idempotent jobs run only inside guarantees: a borrower must be stoppable at any time, and
 * what was stopped must be able to run again.
 */
public final class GuaranteedBestFit implements PlacementPolicy {
  private final long holdRackAfterMillis;

  /**
   * Creates the policy.
   *
   * @param holdRackAfterMillis age at which a waiting gang has a rack held for it
   */
  public GuaranteedBestFit(long holdRackAfterMillis) {
    this.holdRackAfterMillis = holdRackAfterMillis;
  }

  @Override
  public List<Decision> decide(ClusterView view) {
    return new Pass(view).run();
  }

  /** One pass over the waiting jobs. */
  private final class Pass {
    private final ClusterView view;
    private final Room total;
    private final Room free;
    private final Room reclaimable;
    private final Guarantees guarantees;
    private final Set<Long> reclaimed = new HashSet<>();
    private final List<Decision> decisions = new ArrayList<>();

    Pass(ClusterView view) {
      this.view = view;
      List<WorkerInfo> staying =
          view.directory().workers().stream().filter(worker -> !worker.leaving()).toList();
      total = Room.allFree(view.directory().workers());
      free = Room.allFree(staying);
      reclaimable = Room.allFree(staying);
      for (Allocation held : view.jobs().allocations().values()) {
        free.take(held.acceleratorIds());
        if (!held.borrowed() && !held.releasing()) {
          reclaimable.take(held.acceleratorIds());
        }
      }
      guarantees = Guarantees.unused(view.config(), view.jobs());
    }

    List<Decision> run() {
      if (view.directory().workers().isEmpty()) {
        return List.of();
      }
      view.jobs().jobs().values().stream()
          .filter(job -> job.phase() == JobPhase.QUEUED)
          .sorted(
              Comparator.comparing((Job job) -> job.spec().jobClass())
                  .thenComparingLong(Job::createdRevision))
          .forEach(this::decide);
      return decisions;
    }

    private void decide(Job job) {
      Shape shape = job.spec().shape();
      if (total.find(shape).isEmpty()) {
        if (job.starts() == 0) {
          decisions.add(new Decision.Refuse(job.key(), neverFits(shape)));
        }
        return;
      }
      OrganisationId owner = job.key().organisation();
      if (guarantees.find(owner, shape).isPresent()) {
        if (!placeGuaranteed(job)) {
          reclaim(job);
        }
        return;
      }
      if (!job.spec().idempotent()) {
        return;
      }
      if (!borrow(job) && age(job) > holdRackAfterMillis) {
        holdRoom(shape);
      }
    }

    private long age(Job job) {
      return view.wallMillis() - job.submittedAtMillis();
    }

    private String neverFits(Shape shape) {
      return "no "
          + shape.adjacency().name().toLowerCase(java.util.Locale.ROOT)
          + " has "
          + shape.members()
          + " x "
          + shape.acceleratorsPerMember()
          + " accelerators, even when empty";
    }

    private boolean placeGuaranteed(Job job) {
      Shape shape = job.spec().shape();
      List<List<Member>> candidates = new ArrayList<>();
      withoutAvoided(job).find(shape).ifPresent(candidates::add);
      free.find(shape).ifPresent(candidates::add);
      candidates.addAll(free.findAll(shape));
      for (List<Member> members : candidates) {
        if (keepsOtherGuarantees(job, members)) {
          place(job, false, members);
          guarantees.use(job.key().organisation(), shape);
          members.forEach(member -> reclaimable.take(member.acceleratorIds()));
          return true;
        }
      }
      return false;
    }

    /** Returns whether the placement leaves no more guaranteed shapes unfit than there are now. */
    private boolean keepsOtherGuarantees(Job job, List<Member> members) {
      Room after = reclaimable.copy();
      members.forEach(member -> after.take(member.acceleratorIds()));
      Guarantees before = Guarantees.unused(view.config(), view.jobs());
      decisions.stream()
          .filter(decision -> decision instanceof Decision.Place place && !place.borrowed())
          .map(decision -> ((Decision.Place) decision).job())
          .forEach(key -> before.use(key.organisation(), shape(key)));
      int unfitNow = count(before.unfit(reclaimable));
      before.use(job.key().organisation(), job.spec().shape());
      return count(before.unfit(after)) <= unfitNow;
    }

    private Shape shape(JobKey key) {
      return view.jobs().jobs().get(key).spec().shape();
    }

    private static int count(Map<OrganisationId, List<Shape>> unfit) {
      return unfit.values().stream().mapToInt(List::size).sum();
    }

    private boolean borrow(Job job) {
      Optional<List<Member>> members = withoutAvoided(job).find(job.spec().shape());
      if (members.isEmpty()) {
        members = free.find(job.spec().shape());
      }
      members.ifPresent(found -> place(job, true, found));
      return members.isPresent();
    }

    private Room withoutAvoided(Job job) {
      Room room = free.copy();
      job.avoid().forEach(room::takeWorker);
      return room;
    }

    private void place(Job job, boolean borrowed, List<Member> members) {
      decisions.add(new Decision.Place(job.key(), job.attempts() + 1, borrowed, members));
      members.forEach(member -> free.take(member.acceleratorIds()));
    }

    /** Stops the borrowers whose loss is smallest where the shape can be completed. */
    private void reclaim(Job job) {
      Shape shape = job.spec().shape();
      Room open = free.copy();
      List<Allocation> borrowers =
          view.jobs().allocations().values().stream()
              .filter(held -> held.borrowed() || held.releasing())
              .filter(held -> !reclaimed.contains(held.token()))
              .toList();
      borrowers.forEach(held -> open.give(held.acceleratorIds()));
      open.findAll(shape).stream()
          .min(Comparator.comparingInt(members -> loss(victims(borrowers, members))))
          .ifPresent(members -> reclaim(job, members, victims(borrowers, members)));
    }

    private void reclaim(Job job, List<Member> members, List<Allocation> victims) {
      for (Allocation victim : victims) {
        reclaimed.add(victim.token());
        Job borrower = view.jobs().jobs().get(victim.job());
        if (victim.releasing() || borrower == null || borrower.reclaimRequested()) {
          continue;
        }
        decisions.add(new Decision.Reclaim(victim.job(), victim.token(), job.key().organisation()));
      }
      guarantees.use(job.key().organisation(), job.spec().shape());
      members.forEach(member -> free.take(member.acceleratorIds()));
      members.forEach(member -> reclaimable.take(member.acceleratorIds()));
    }

    private List<Allocation> victims(List<Allocation> borrowers, List<Member> members) {
      Set<Long> tokens = new LinkedHashSet<>();
      members.stream()
          .flatMap(member -> member.acceleratorIds().stream())
          .map(id -> view.jobs().holders().get(id))
          .filter(token -> token != null)
          .forEach(tokens::add);
      return borrowers.stream().filter(held -> tokens.contains(held.token())).toList();
    }

    /** Counts accelerators of attempts that would be stopped; one that is over costs nothing. */
    private int loss(List<Allocation> victims) {
      return victims.stream()
          .filter(held -> !held.releasing())
          .mapToInt(held -> held.acceleratorIds().size())
          .sum();
    }

    /** Keeps later jobs of this pass out of the rack that is nearest to holding the shape. */
    private void holdRoom(Shape shape) {
      List<List<Member>> candidates = total.findAll(shape);
      candidates.stream()
          .max(Comparator.comparingInt(this::freeNear))
          .ifPresent(members -> near(members).forEach(free::takeWorker));
    }

    private int freeNear(List<Member> members) {
      Room rest = free.copy();
      near(members).forEach(rest::takeWorker);
      return free.free() - rest.free();
    }

    private Set<WorkerId> near(List<Member> members) {
      Set<WorkerId> workers = new LinkedHashSet<>();
      members.forEach(member -> workers.addAll(total.rackOf(member.worker())));
      return workers;
    }
  }
}
