package org.peridotroute.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobPhase;
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
  private static final int MAX_CANDIDATES = 4;

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

    /**
     * Serves jobs inside guarantees before all others: what was reclaimed for them must not be
     * borrowed again.
     */
    List<Decision> run() {
      if (view.directory().workers().isEmpty()) {
        return List.of();
      }
      List<Job> waiting =
          view.jobs().jobs().values().stream()
              .filter(job -> job.phase() == JobPhase.QUEUED)
              .filter(job -> !refuseIfImpossible(job))
              .sorted(
                  Comparator.comparing((Job job) -> job.spec().jobClass())
                      .thenComparingLong(Job::createdRevision))
              .toList();
      List<Job> others = waiting.stream().filter(job -> !serveInsideGuarantee(job)).toList();
      others.stream().filter(job -> job.spec().idempotent()).forEach(this::serveBorrowing);
      return decisions;
    }

    private boolean refuseIfImpossible(Job job) {
      Shape shape = job.spec().shape();
      if (total.find(shape).isPresent()) {
        return false;
      }
      if (job.starts() == 0) {
        decisions.add(new Decision.Refuse(job.key(), neverFits(shape)));
      }
      return true;
    }

    private void serveBorrowing(Job job) {
      if (!borrow(job) && age(job) > holdRackAfterMillis) {
        holdRoom(job.spec().shape());
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

    /**
     * Places a job into a guarantee, or reclaims the room for it. Returns false where no guarantee
     * of its owner is unused, or where the loss of workers has left no room for it.
     */
    private boolean serveInsideGuarantee(Job job) {
      Shape shape = job.spec().shape();
      OrganisationId owner = job.key().organisation();
      Optional<Shape> guaranteed = guarantees.find(owner, shape);
      if (guaranteed.isEmpty()) {
        return false;
      }
      Guarantees.Packing packing = guarantees.pack(reclaimable);
      Optional<List<Member>> free =
          candidates(job).stream()
              .filter(members -> keepsOthers(job, members, packing.unfit().size()))
              .findFirst();
      if (free.isPresent()) {
        place(job, false, free.get());
        useGuarantee(job, free.get());
        return true;
      }
      Optional<List<Member>> cells =
          packing
              .find(new Guarantees.Owned(owner, guaranteed.get()))
              .flatMap(room -> Room.only(room, total).find(shape));
      cells.ifPresent(members -> reclaim(job, members));
      return cells.isPresent();
    }

    private List<List<Member>> candidates(Job job) {
      Shape shape = job.spec().shape();
      List<List<Member>> candidates = new ArrayList<>();
      withoutAvoided(job).find(shape).ifPresent(candidates::add);
      free.find(shape).ifPresent(candidates::add);
      free.findAll(shape).stream().limit(MAX_CANDIDATES).forEach(candidates::add);
      return candidates;
    }

    /** Returns whether the placement leaves no more guaranteed shapes unfit than there are now. */
    private boolean keepsOthers(Job job, List<Member> members, int unfitNow) {
      Room after = reclaimable.copy();
      members.forEach(member -> after.take(member.acceleratorIds()));
      Guarantees rest = guarantees.copy();
      rest.use(job.key().organisation(), job.spec().shape());
      return rest.pack(after).unfit().size() <= unfitNow;
    }

    private void useGuarantee(Job job, List<Member> members) {
      guarantees.use(job.key().organisation(), job.spec().shape());
      members.forEach(member -> reclaimable.take(member.acceleratorIds()));
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

    /**
     * Stops the borrowers that hold the room, and keeps later jobs of this pass out of it. The room
     * is one in which all other unused guaranteed shapes still fit.
     */
    private void reclaim(Job job, List<Member> members) {
      for (long token : holders(members)) {
        Allocation held = view.jobs().allocations().get(token);
        Job borrower = view.jobs().jobs().get(held.job());
        if (held.releasing() || borrower.reclaimRequested() || !reclaimed.add(token)) {
          continue;
        }
        decisions.add(new Decision.Reclaim(held.job(), token, job.key().organisation()));
      }
      useGuarantee(job, members);
      members.forEach(member -> free.take(member.acceleratorIds()));
    }

    private Set<Long> holders(List<Member> members) {
      Set<Long> tokens = new LinkedHashSet<>();
      members.stream()
          .flatMap(member -> member.acceleratorIds().stream())
          .map(id -> view.jobs().holders().get(id))
          .filter(token -> token != null)
          .forEach(tokens::add);
      return tokens;
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
