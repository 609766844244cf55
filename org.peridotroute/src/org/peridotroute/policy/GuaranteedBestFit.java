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
 * Best-fit placement with guarantees. Places a job inside a guarantee of its organisation if one is
 * unused, and otherwise lets it borrow free accelerators. Chooses the rack with the fewest free
 * accelerators that fits the gang, reclaims guaranteed accelerators from borrowers, and reserves a
 * rack for a gang that has waited longer than a set time. Every decision keeps the invariant that
 * all unused guaranteed shapes fit at the same time into accelerators that are free or held by
 * borrowers.
 *
 * <p>Non-idempotent jobs run only inside guarantees, because a borrower can be preempted at any
 * time and must then be able to run again.
 *
 * <p>A pass scans the groups of workers once for each distinct shape that does not fit and once for
 * each job that does. A backlog of many jobs with few distinct shapes therefore costs little more
 * than one job of each shape.
 */
public final class GuaranteedBestFit implements PlacementPolicy {
  /** Maximum number of times per pass that all guaranteed shapes are packed again. */
  private static final int MAX_REPACKS = 16;

  /**
   * A pass reserves racks for at most one gang per this many racks of the cluster, or for one gang
   * in a smaller cluster.
   */
  private static final int RACKS_PER_RESERVED_RACK = 8;

  /**
   * Minimum ratio of the accelerators of a gang to those preempted in the racks reserved for it.
   */
  private static final int MIN_GANG_TO_PREEMPTED_RATIO = 2;

  private final long reserveRackAfterMillis;

  /**
   * Creates the policy.
   *
   * @param reserveRackAfterMillis waiting time after which a rack is reserved for a gang
   */
  public GuaranteedBestFit(long reserveRackAfterMillis) {
    this.reserveRackAfterMillis = reserveRackAfterMillis;
  }

  @Override
  public List<Decision> decide(ClusterView view) {
    return view.directory().workers().isEmpty() ? List.of() : new Pass(view).run();
  }

  /** One scheduling pass over the queued jobs. */
  private final class Pass {
    private final ClusterView view;
    private final FreeAccelerators clusterAccelerators;
    private final FreeAccelerators free;
    private final FreeAccelerators freeOrReclaiming;
    private final FreeAccelerators reclaimable;
    private final Guarantees guarantees;
    private final Set<Shape> impossibleShapes = new HashSet<>();
    private final Set<Shape> possibleShapes = new HashSet<>();
    private final Set<Shape> unplaceableShapes = new HashSet<>();
    private final Set<Long> reclaimed = new HashSet<>();
    private final List<Decision> decisions = new ArrayList<>();
    private Packing packing;
    private FreeAccelerators unreserved;
    private int repacks;
    private int reservableRacks;

    Pass(ClusterView view) {
      this.view = view;
      clusterAccelerators = FreeAccelerators.allOf(view.directory().workers());
      free = FreeAccelerators.allOf(view.directory().workers());
      view.directory().workers().stream()
          .filter(WorkerInfo::leaving)
          .forEach(worker -> free.markHeld(allAccelerators(worker)));
      reclaimable = free.copy();
      for (Allocation allocation : view.jobs().allocations().values()) {
        free.markHeld(allocation.acceleratorIds());
        addPreemptionCost(allocation);
        if (!allocation.borrowed() && !allocation.releasing()) {
          reclaimable.markHeld(allocation.acceleratorIds());
        }
      }
      freeOrReclaiming = freeOrReclaiming();
      guarantees = Guarantees.unused(view.config(), view.jobs());
      packing = guarantees.pack(reclaimable, freeOrReclaiming);
      unreserved = packing.unreserved(free);
      reservableRacks = Math.max(1, clusterAccelerators.rackCount() / RACKS_PER_RESERVED_RACK);
    }

    /**
     * Places jobs inside guarantees before all others, so that no other job borrows accelerators
     * that were just reclaimed for a guarantee.
     */
    List<Decision> run() {
      List<Job> queued =
          view.jobs().jobs().values().stream()
              .filter(job -> job.phase() == JobPhase.QUEUED)
              .filter(job -> !refuseIfImpossible(job))
              .sorted(
                  Comparator.comparing((Job job) -> job.spec().jobClass())
                      .thenComparingLong(Job::createdRevision))
              .toList();
      List<Job> others = queued.stream().filter(job -> !placeInGuarantee(job)).toList();
      others.stream().filter(job -> job.spec().idempotent()).forEach(this::placeBorrowing);
      return decisions;
    }

    /**
     * Returns accelerators that are free or being reclaimed. Including the latter keeps them the
     * first choice of the shape for which they are reclaimed.
     */
    private FreeAccelerators freeOrReclaiming() {
      FreeAccelerators result = free.copy();
      for (Allocation allocation : view.jobs().allocations().values()) {
        if (allocation.releasing() || view.jobs().jobs().get(allocation.job()).reclaimRequested()) {
          result.markFree(allocation.acceleratorIds());
        }
      }
      return result;
    }

    /**
     * Adds the work that is lost if a borrower is preempted. A job that writes checkpoints loses
     * none.
     */
    private void addPreemptionCost(Allocation allocation) {
      Job job = view.jobs().jobs().get(allocation.job());
      boolean losesNoWork =
          !allocation.borrowed()
              || allocation.releasing()
              || job.reclaimRequested()
              || job.phase() != JobPhase.RUNNING
              || job.spec().checkpointable();
      if (losesNoWork) {
        return;
      }
      long ranMillis = Math.max(0, view.wallMillis() - job.startedAtMillis());
      allocation
          .members()
          .forEach(
              member ->
                  free.addPreemptionCost(
                      member.worker(), ranMillis * member.accelerators().size()));
    }

    private static List<AcceleratorId> allAccelerators(WorkerInfo worker) {
      List<Integer> indices = new ArrayList<>();
      for (int i = 0; i < worker.accelerators(); i++) {
        indices.add(i);
      }
      return new Member(worker.id(), indices).acceleratorIds();
    }

    private boolean refuseIfImpossible(Job job) {
      Shape shape = job.spec().shape();
      if (possibleShapes.contains(shape)) {
        return false;
      }
      if (!impossibleShapes.contains(shape) && clusterAccelerators.findBestFit(shape).isPresent()) {
        possibleShapes.add(shape);
        return false;
      }
      impossibleShapes.add(shape);
      if (job.starts() == 0) {
        decisions.add(new Decision.Refuse(job.key(), refusalReason(shape)));
      }
      return true;
    }

    private String refusalReason(Shape shape) {
      return "no "
          + shape.adjacency().name().toLowerCase(Locale.ROOT)
          + " has "
          + shape.members()
          + " x "
          + shape.acceleratorsPerMember()
          + " accelerators, even when empty";
    }

    /**
     * Places a job inside a guarantee, or reclaims accelerators for it. Returns false if no
     * guarantee of its organisation is unused, or if the guaranteed shape does not fit because
     * workers were lost.
     */
    private boolean placeInGuarantee(Job job) {
      Shape shape = job.spec().shape();
      Optional<Guarantees.OwnedShape> found =
          guarantees.findUnused(job.key().organisation(), shape);
      if (found.isEmpty()) {
        return false;
      }
      Guarantees.OwnedShape owned = found.get();
      Optional<List<Member>> reserved = packing.findPlacement(owned, free);
      if (placeOnUnreserved(job, owned, reserved)) {
        return true;
      }
      Optional<List<Member>> placement =
          reserved.flatMap(members -> free.withOnly(members).findBestFit(shape));
      if (placement.filter(free::areFree).isPresent() && !usesAvoidedWorker(job, placement.get())) {
        useGuarantee(owned, reserved.get(), placement.get());
        place(job, false, placement.get());
        return true;
      }
      if (placeByRepacking(job, owned)) {
        return true;
      }
      placement.ifPresent(
          members -> {
            useGuarantee(owned, reserved.get(), members);
            reclaimOrPlace(job, members);
          });
      return placement.isPresent();
    }

    /**
     * Places a job on free accelerators that are reserved for no guaranteed shape, so that no other
     * shape loses its placement. An idempotent job that needs at most half of the guaranteed shape
     * only borrows them, which leaves the whole guarantee unused.
     */
    private boolean placeOnUnreserved(
        Job job, Guarantees.OwnedShape owned, Optional<List<Member>> reserved) {
      Shape shape = job.spec().shape();
      boolean small = shape.accelerators() * 2 <= owned.shape().accelerators();
      boolean borrow = small && job.spec().idempotent();
      Optional<List<Member>> members = unreserved.findBestFit(shape);
      if (members.isEmpty()
          || usesAvoidedWorker(job, members.get())
          || (reserved.isEmpty() && !borrow)) {
        return false;
      }
      if (!borrow) {
        useGuarantee(owned, reserved.get(), members.get());
      }
      place(job, borrow, members.get());
      return true;
    }

    private boolean usesAvoidedWorker(Job job, List<Member> members) {
      return members.stream().anyMatch(member -> job.avoid().contains(member.worker()));
    }

    private void useGuarantee(
        Guarantees.OwnedShape owned, List<Member> reserved, List<Member> members) {
      packing.markUsed(owned, reserved);
      guarantees.markUsed(owned, members);
      reclaimable.markMembersHeld(members);
      unreserved = packing.unreserved(free);
    }

    /**
     * Places a job on any free accelerators, provided that repacking leaves no more guaranteed
     * shapes unplaced than before.
     */
    private boolean placeByRepacking(Job job, Guarantees.OwnedShape owned) {
      if (unplaceableShapes.contains(job.spec().shape()) || repacks >= MAX_REPACKS) {
        return false;
      }
      Optional<List<Member>> members = findFree(job);
      if (members.isEmpty()) {
        return false;
      }
      repacks++;
      FreeAccelerators reclaimableAfter = reclaimable.copy();
      reclaimableAfter.markMembersHeld(members.get());
      Guarantees guaranteesAfter = guarantees.copy();
      guaranteesAfter.markUsed(owned, members.get());
      FreeAccelerators freeOrReclaimingAfter = freeOrReclaiming.copy();
      freeOrReclaimingAfter.markMembersHeld(members.get());
      Packing repacked = guaranteesAfter.pack(reclaimableAfter, freeOrReclaimingAfter);
      if (repacked.unplaced().size() > packing.unplaced().size()) {
        return false;
      }
      packing = repacked;
      guarantees.markUsed(owned, members.get());
      reclaimable.markMembersHeld(members.get());
      place(job, false, members.get());
      unreserved = packing.unreserved(free);
      return true;
    }

    /** Finds free accelerators, if possible not on workers on which the job has failed. */
    private Optional<List<Member>> findFree(Job job) {
      Shape shape = job.spec().shape();
      Set<WorkerId> avoid = new HashSet<>(job.avoid());
      Optional<List<Member>> members =
          avoid.isEmpty() ? Optional.empty() : free.findBestFit(shape, avoid, free);
      return members.isPresent() ? members : free.findBestFit(shape);
    }

    /**
     * Finds free accelerators to borrow, if possible ones that are reserved for no guaranteed shape
     * and are therefore unlikely to be reclaimed soon.
     */
    private Optional<List<Member>> findToBorrow(Job job) {
      Optional<List<Member>> onUnreserved =
          unreserved
              .findBestFit(job.spec().shape())
              .filter(members -> !usesAvoidedWorker(job, members));
      return onUnreserved.isPresent() ? onUnreserved : findFree(job);
    }

    /** Places a job if its accelerators are free, or else reclaims them from the borrowers. */
    private void reclaimOrPlace(Job job, List<Member> members) {
      if (free.areFree(members)) {
        place(job, false, members);
        return;
      }
      holders(members).forEach(token -> requestReclaim(token, job));
      markHeld(members);
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

    private void placeBorrowing(Job job) {
      Shape shape = job.spec().shape();
      Optional<List<Member>> members =
          unplaceableShapes.contains(shape) ? Optional.empty() : findToBorrow(job);
      if (members.isPresent()) {
        place(job, true, members.get());
        return;
      }
      unplaceableShapes.add(shape);
      boolean waitedLong = view.wallMillis() - job.submittedAtMillis() > reserveRackAfterMillis;
      if (waitedLong && reservableRacks > 0) {
        reservableRacks--;
        free.findMostFree(shape, clusterAccelerators)
            .ifPresent(placement -> reserveRacks(job, placement));
      }
    }

    /**
     * Keeps later jobs of this pass off the racks that are closest to fitting a gang. Also reclaims
     * the accelerators still in use there, if no job loses work by that and at most half as many
     * are in use as the gang needs.
     */
    private void reserveRacks(Job job, List<Member> members) {
      List<Allocation> holders =
          holders(members).stream().map(view.jobs().allocations()::get).toList();
      boolean lossless = holders.stream().allMatch(this::isPreemptibleWithoutLoss);
      int toPreempt =
          holders.stream()
              .filter(allocation -> !allocation.releasing())
              .mapToInt(allocation -> allocation.acceleratorIds().size())
              .sum();
      if (lossless
          && toPreempt * MIN_GANG_TO_PREEMPTED_RATIO <= job.spec().shape().accelerators()) {
        holders.forEach(allocation -> requestReclaim(allocation.token(), job));
      }
      free.markRacksHeld(members);
      unreserved.markRacksHeld(members);
    }

    private boolean isPreemptibleWithoutLoss(Allocation allocation) {
      boolean checkpointable =
          allocation.borrowed() && view.jobs().jobs().get(allocation.job()).spec().checkpointable();
      return allocation.releasing() || checkpointable;
    }

    /** Requests a reclaim from a borrower, unless one was requested before. */
    private void requestReclaim(long token, Job forJob) {
      Allocation allocation = view.jobs().allocations().get(token);
      if (allocation.releasing() || !reclaimed.add(token)) {
        return;
      }
      if (!view.jobs().jobs().get(allocation.job()).reclaimRequested()) {
        decisions.add(new Decision.Reclaim(allocation.job(), token, forJob.key().organisation()));
      }
    }

    /** Makes accelerators unavailable to later jobs of this pass. */
    private void markHeld(List<Member> members) {
      free.markMembersHeld(members);
      freeOrReclaiming.markMembersHeld(members);
      unreserved.markMembersHeld(members);
    }

    private void place(Job job, boolean borrowed, List<Member> members) {
      decisions.add(new Decision.Place(job.key(), job.attempts() + 1, borrowed, members));
      markHeld(members);
    }
  }
}
