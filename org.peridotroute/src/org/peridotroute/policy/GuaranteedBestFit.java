package org.peridotroute.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.lib.AcceleratorId;
import org.peridotroute.lib.Member;
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
 *
 * <p>One pass costs a look at each group of workers for each shape that does not fit, and for each
 * job that does: a backlog of many jobs of few shapes costs little more than one job of each.
 */
public final class GuaranteedBestFit implements PlacementPolicy {
  private static final int MAX_REPACKS = 16;
  private static final int RACKS_PER_HELD_RACK = 8;
  private static final int MOVABLE_SHARE = 2;

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
    return view.directory().workers().isEmpty() ? List.of() : new Pass(view).run();
  }

  /** One pass over the waiting jobs. */
  private final class Pass {
    private final ClusterView view;
    private final FreeAccelerators total;
    private final FreeAccelerators free;
    private final FreeAccelerators clearing;
    private final FreeAccelerators reclaimable;
    private final Guarantees guarantees;
    private final Set<Shape> impossible = new HashSet<>();
    private final Set<Shape> possible = new HashSet<>();
    private final Set<Shape> tooLarge = new HashSet<>();
    private final Set<Long> reclaimed = new HashSet<>();
    private final List<Decision> decisions = new ArrayList<>();
    private Packing packing;
    private FreeAccelerators unpacked;
    private int repacks;
    private int racksLeftToHold;

    Pass(ClusterView view) {
      this.view = view;
      total = FreeAccelerators.allOf(view.directory().workers());
      free = FreeAccelerators.allOf(view.directory().workers());
      view.directory().workers().stream()
          .filter(WorkerInfo::leaving)
          .forEach(worker -> free.markHeld(all(worker)));
      reclaimable = free.copy();
      for (Allocation held : view.jobs().allocations().values()) {
        free.markHeld(held.acceleratorIds());
        noteLoss(held);
        if (!held.borrowed() && !held.releasing()) {
          reclaimable.markHeld(held.acceleratorIds());
        }
      }
      clearing = clearing();
      guarantees = Guarantees.unused(view.config(), view.jobs());
      packing = guarantees.pack(reclaimable, clearing);
      unpacked = packing.unreserved(free);
      racksLeftToHold = Math.max(1, total.rackCount() / RACKS_PER_HELD_RACK);
    }

    /**
     * Serves jobs inside guarantees before all others: what was reclaimed for them must not be
     * borrowed again.
     */
    List<Decision> run() {
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

    /**
     * Returns what is free or about to be: room that is being cleared stays the first choice of the
     * shape that it is cleared for.
     */
    private FreeAccelerators clearing() {
      FreeAccelerators room = free.copy();
      for (Allocation held : view.jobs().allocations().values()) {
        if (held.releasing() || view.jobs().jobs().get(held.job()).reclaimRequested()) {
          room.markFree(held.acceleratorIds());
        }
      }
      return room;
    }

    /**
     * Notes the work that stopping a borrower would lose; one that keeps its progress loses none.
     */
    private void noteLoss(Allocation held) {
      Job job = view.jobs().jobs().get(held.job());
      boolean losesNothing =
          !held.borrowed()
              || held.releasing()
              || job.reclaimRequested()
              || job.phase() != JobPhase.RUNNING
              || job.spec().checkpointable();
      if (losesNothing) {
        return;
      }
      long ranMillis = Math.max(0, view.wallMillis() - job.startedAtMillis());
      held.members()
          .forEach(
              member ->
                  free.addPreemptionCost(
                      member.worker(), ranMillis * member.accelerators().size()));
    }

    private static List<AcceleratorId> all(WorkerInfo worker) {
      List<Integer> indices = new ArrayList<>();
      for (int i = 0; i < worker.accelerators(); i++) {
        indices.add(i);
      }
      return new Member(worker.id(), indices).acceleratorIds();
    }

    private boolean refuseIfImpossible(Job job) {
      Shape shape = job.spec().shape();
      if (possible.contains(shape)) {
        return false;
      }
      if (!impossible.contains(shape) && total.findBestFit(shape).isPresent()) {
        possible.add(shape);
        return false;
      }
      impossible.add(shape);
      if (job.starts() == 0) {
        decisions.add(new Decision.Refuse(job.key(), neverFits(shape)));
      }
      return true;
    }

    private String neverFits(Shape shape) {
      return "no "
          + shape.adjacency().name().toLowerCase(Locale.ROOT)
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
      Optional<Guarantees.OwnedShape> found =
          guarantees.findUnused(job.key().organisation(), shape);
      if (found.isEmpty()) {
        return false;
      }
      Guarantees.OwnedShape owned = found.get();
      Optional<List<Member>> ownRoom = packing.findPlacement(owned, free);
      if (placeBesides(job, owned, ownRoom)) {
        return true;
      }
      Optional<List<Member>> inOwnRoom =
          ownRoom.flatMap(room -> free.withOnly(room).findBestFit(shape));
      if (inOwnRoom.filter(free::areFree).isPresent() && !isAvoided(job, inOwnRoom.get())) {
        use(owned, ownRoom.get(), inOwnRoom.get());
        place(job, false, inOwnRoom.get());
        return true;
      }
      if (placeElsewhere(job, owned)) {
        return true;
      }
      inOwnRoom.ifPresent(
          members -> {
            use(owned, ownRoom.get(), members);
            reclaimOrPlace(job, members);
          });
      return inOwnRoom.isPresent();
    }

    /**
     * Places a job where no unused guaranteed shape would go, which costs no other shape its room.
     * A job that needs much less than the guaranteed shape only borrows there, so that the
     * guarantee stays whole.
     */
    private boolean placeBesides(
        Job job, Guarantees.OwnedShape owned, Optional<List<Member>> ownRoom) {
      Shape shape = job.spec().shape();
      boolean small = shape.accelerators() * 2 <= owned.shape().accelerators();
      boolean borrow = small && job.spec().idempotent();
      Optional<List<Member>> members = unpacked.findBestFit(shape);
      if (members.isEmpty() || isAvoided(job, members.get()) || (ownRoom.isEmpty() && !borrow)) {
        return false;
      }
      if (!borrow) {
        use(owned, ownRoom.get(), members.get());
      }
      place(job, borrow, members.get());
      return true;
    }

    private boolean isAvoided(Job job, List<Member> members) {
      return members.stream().anyMatch(member -> job.avoid().contains(member.worker()));
    }

    private void use(Guarantees.OwnedShape owned, List<Member> room, List<Member> members) {
      packing.markUsed(owned, room);
      guarantees.markUsed(owned, members);
      reclaimable.markMembersHeld(members);
      unpacked = packing.unreserved(free);
    }

    /** Places a job into free room if all other guaranteed shapes fit as well as before. */
    private boolean placeElsewhere(Job job, Guarantees.OwnedShape owned) {
      if (tooLarge.contains(job.spec().shape()) || repacks >= MAX_REPACKS) {
        return false;
      }
      Optional<List<Member>> members = findFree(job);
      if (members.isEmpty()) {
        return false;
      }
      repacks++;
      FreeAccelerators after = reclaimable.copy();
      after.markMembersHeld(members.get());
      Guarantees rest = guarantees.copy();
      rest.markUsed(owned, members.get());
      FreeAccelerators clearAfter = clearing.copy();
      clearAfter.markMembersHeld(members.get());
      Packing repacked = rest.pack(after, clearAfter);
      if (repacked.unplaced().size() > packing.unplaced().size()) {
        return false;
      }
      packing = repacked;
      guarantees.markUsed(owned, members.get());
      reclaimable.markMembersHeld(members.get());
      place(job, false, members.get());
      unpacked = packing.unreserved(free);
      return true;
    }

    /** Finds free room, away from workers on which the job has failed if that can be had. */
    private Optional<List<Member>> findFree(Job job) {
      Shape shape = job.spec().shape();
      Set<WorkerId> avoid = new HashSet<>(job.avoid());
      Optional<List<Member>> members =
          avoid.isEmpty() ? Optional.empty() : free.findBestFit(shape, avoid, free);
      return members.isPresent() ? members : free.findBestFit(shape);
    }

    /**
     * Finds free room to borrow, if possible where no unused guaranteed shape would go, so that it
     * is not soon reclaimed.
     */
    private Optional<List<Member>> findToBorrow(Job job) {
      Optional<List<Member>> besides =
          unpacked.findBestFit(job.spec().shape()).filter(members -> !isAvoided(job, members));
      return besides.isPresent() ? besides : findFree(job);
    }

    /** Stops the borrowers that hold the room; places the job if nobody does. */
    private void reclaimOrPlace(Job job, List<Member> members) {
      if (free.areFree(members)) {
        place(job, false, members);
        return;
      }
      holders(members).forEach(token -> stop(token, job));
      hold(members);
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

    private void serveBorrowing(Job job) {
      Shape shape = job.spec().shape();
      Optional<List<Member>> members =
          tooLarge.contains(shape) ? Optional.empty() : findToBorrow(job);
      if (members.isPresent()) {
        place(job, true, members.get());
        return;
      }
      tooLarge.add(shape);
      boolean old = view.wallMillis() - job.submittedAtMillis() > holdRackAfterMillis;
      if (old && racksLeftToHold > 0) {
        racksLeftToHold--;
        free.findMostFree(shape, total).ifPresent(room -> holdRacks(job, room));
      }
    }

    /**
     * Keeps later jobs out of the racks that are nearest to holding a gang, and moves what little
     * is still there away if it can be moved without loss.
     */
    private void holdRacks(Job job, List<Member> room) {
      List<Allocation> holding =
          holders(room).stream().map(view.jobs().allocations()::get).toList();
      boolean movable = holding.stream().allMatch(this::isMovable);
      int toMove =
          holding.stream()
              .filter(held -> !held.releasing())
              .mapToInt(held -> held.acceleratorIds().size())
              .sum();
      if (movable && toMove * MOVABLE_SHARE <= job.spec().shape().accelerators()) {
        holding.forEach(held -> stop(held.token(), job));
      }
      free.markRacksHeld(room);
      unpacked.markRacksHeld(room);
    }

    private boolean isMovable(Allocation held) {
      boolean checkpointable =
          held.borrowed() && view.jobs().jobs().get(held.job()).spec().checkpointable();
      return held.releasing() || checkpointable;
    }

    /** Asks a borrower to stop, unless it was asked before. */
    private void stop(long token, Job forJob) {
      Allocation held = view.jobs().allocations().get(token);
      if (held.releasing() || !reclaimed.add(token)) {
        return;
      }
      if (!view.jobs().jobs().get(held.job()).reclaimRequested()) {
        decisions.add(new Decision.Reclaim(held.job(), token, forJob.key().organisation()));
      }
    }

    /** Keeps later jobs of this pass out of some room. */
    private void hold(List<Member> members) {
      free.markMembersHeld(members);
      clearing.markMembersHeld(members);
      unpacked.markMembersHeld(members);
    }

    private void place(Job job, boolean borrowed, List<Member> members) {
      decisions.add(new Decision.Place(job.key(), job.attempts() + 1, borrowed, members));
      hold(members);
    }
  }
}
