package org.peridotroute.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.peridotroute.lib.AcceleratorId;
import org.peridotroute.lib.Adjacency;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.Shape;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.lib.WorkerInfo;

/**
 * Set of free accelerators during one scheduling pass, stored as one bit mask per worker, together
 * with the groups (workers, racks, places) that a gang must fit into. Copies share the immutable
 * parts and the preemption costs. Mutable; owned by the pass and used by one thread.
 */
public final class FreeAccelerators {
  private final Layout layout;
  private final long[] freeBits;
  private final long[] preemptionCostMillis;

  /** The workers and their groups, referred to by index. Immutable during a pass. */
  private static final class Layout {
    private final List<WorkerInfo> workers;
    private final Map<WorkerId, Integer> indexOf = new HashMap<>();
    private final Map<Adjacency, int[][]> groups = new HashMap<>();
    private final int[] rackOfWorker;

    Layout(Collection<WorkerInfo> infos) {
      workers = infos.stream().sorted(Comparator.comparing(WorkerInfo::id)).toList();
      for (int i = 0; i < workers.size(); i++) {
        indexOf.put(workers.get(i).id(), i);
      }
      groups.put(Adjacency.WORKER, group(info -> info.id().value()));
      groups.put(Adjacency.RACK, group(info -> info.place() + "/" + info.rack()));
      groups.put(Adjacency.PLACE, group(info -> info.place().value()));
      rackOfWorker = new int[workers.size()];
      int[][] racks = groups.get(Adjacency.RACK);
      for (int rack = 0; rack < racks.length; rack++) {
        for (int worker : racks[rack]) {
          rackOfWorker[worker] = rack;
        }
      }
    }

    private int[][] group(Function<WorkerInfo, String> nameOf) {
      Map<String, List<Integer>> byName = new LinkedHashMap<>();
      for (int i = 0; i < workers.size(); i++) {
        byName.computeIfAbsent(nameOf.apply(workers.get(i)), name -> new ArrayList<>()).add(i);
      }
      return byName.values().stream()
          .map(group -> group.stream().mapToInt(Integer::intValue).toArray())
          .toArray(int[][]::new);
    }

    long allBits(int worker) {
      int count = workers.get(worker).accelerators();
      return count == Long.SIZE ? -1L : (1L << count) - 1;
    }
  }

  private FreeAccelerators(Layout layout, long[] freeBits, long[] preemptionCostMillis) {
    this.layout = layout;
    this.freeBits = freeBits;
    this.preemptionCostMillis = preemptionCostMillis;
  }

  /**
   * Creates a set that contains every accelerator of the given workers.
   *
   * @param workers the workers
   * @return the set
   */
  public static FreeAccelerators allOf(Collection<WorkerInfo> workers) {
    Layout layout = new Layout(workers);
    FreeAccelerators set =
        new FreeAccelerators(
            layout, new long[layout.workers.size()], new long[layout.workers.size()]);
    Arrays.setAll(set.freeBits, layout::allBits);
    return set;
  }

  /**
   * Creates a set over the same workers that contains only the accelerators of a placement.
   *
   * @param members the free accelerators
   * @return the new set
   */
  public FreeAccelerators withOnly(List<Member> members) {
    FreeAccelerators set =
        new FreeAccelerators(layout, new long[freeBits.length], preemptionCostMillis);
    members.forEach(member -> set.markFree(member.acceleratorIds()));
    return set;
  }

  /** Returns an independent copy. */
  public FreeAccelerators copy() {
    return new FreeAccelerators(layout, freeBits.clone(), preemptionCostMillis);
  }

  /** Returns the number of racks. */
  public int rackCount() {
    return layout.groups.get(Adjacency.RACK).length;
  }

  /** Returns the number of free accelerators. */
  public int freeCount() {
    int free = 0;
    for (long bits : freeBits) {
      free += Long.bitCount(bits);
    }
    return free;
  }

  /**
   * Marks accelerators as held. Accelerators of unknown workers are ignored.
   *
   * @param ids the accelerators
   */
  public void markHeld(Collection<AcceleratorId> ids) {
    for (AcceleratorId id : ids) {
      Integer worker = layout.indexOf.get(id.worker());
      if (worker != null) {
        freeBits[worker] &= ~(1L << id.index());
      }
    }
  }

  /**
   * Marks the accelerators of a placement as held.
   *
   * @param members the placement
   */
  public void markMembersHeld(List<Member> members) {
    members.forEach(member -> markHeld(member.acceleratorIds()));
  }

  /**
   * Adds to the work that is lost when the jobs on a worker are preempted. The costs are shared by
   * all copies.
   *
   * @param id the worker
   * @param acceleratorMillis lost work, in accelerator milliseconds
   */
  public void addPreemptionCost(WorkerId id, long acceleratorMillis) {
    Integer worker = layout.indexOf.get(id);
    if (worker != null) {
      preemptionCostMillis[worker] += acceleratorMillis;
    }
  }

  /**
   * Marks accelerators as free. Unknown workers and accelerators are ignored.
   *
   * @param ids the accelerators
   */
  public void markFree(Collection<AcceleratorId> ids) {
    for (AcceleratorId id : ids) {
      Integer worker = layout.indexOf.get(id.worker());
      if (worker != null && id.index() < layout.workers.get(worker).accelerators()) {
        freeBits[worker] |= 1L << id.index();
      }
    }
  }

  /**
   * Marks the accelerators of a placement as free.
   *
   * @param members the placement
   */
  public void markMembersFree(List<Member> members) {
    members.forEach(member -> markFree(member.acceleratorIds()));
  }

  /**
   * Marks all accelerators of the racks that a placement uses as held.
   *
   * @param members the placement
   */
  public void markRacksHeld(List<Member> members) {
    for (Member member : members) {
      Integer worker = layout.indexOf.get(member.worker());
      if (worker != null) {
        int[] rack = layout.groups.get(Adjacency.RACK)[layout.rackOfWorker[worker]];
        for (int peer : rack) {
          freeBits[peer] = 0;
        }
      }
    }
  }

  /**
   * Returns whether all accelerators of a placement are free.
   *
   * @param members the placement
   * @return false also if a worker is unknown
   */
  public boolean areFree(List<Member> members) {
    for (Member member : members) {
      Integer worker = layout.indexOf.get(member.worker());
      long wanted = member.accelerators().stream().mapToLong(index -> 1L << index).sum();
      if (worker == null || (freeBits[worker] & wanted) != wanted) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns how many accelerators of a placement are free.
   *
   * @param members the placement
   * @return the number
   */
  public int countFree(List<Member> members) {
    int count = 0;
    for (Member member : members) {
      Integer worker = layout.indexOf.get(member.worker());
      for (int index : member.accelerators()) {
        if (worker != null && (freeBits[worker] & (1L << index)) != 0) {
          count++;
        }
      }
    }
    return count;
  }

  /**
   * Finds the best-fit placement of a shape: the group (worker, rack or place, by adjacency) with
   * the fewest free accelerators that still fits the shape, and within the group the workers with
   * the fewest free accelerators first. Does not modify this set.
   *
   * @param shape the shape
   * @return the placement of each member, or empty if the shape does not fit
   */
  public Optional<List<Member>> findBestFit(Shape shape) {
    return findBestFit(shape, Set.of(), this);
  }

  /**
   * Finds a placement of a shape in the group with the lowest preemption cost. Ties go to the group
   * with the fewest accelerators to preempt, then to the group with the fewest free accelerators.
   *
   * @param shape the shape
   * @param avoid workers to exclude
   * @param preferred a set over the same workers whose accelerators are chosen first; any other
   *     accelerator must be preempted
   * @return the placement of each member, or empty if the shape does not fit
   */
  public Optional<List<Member>> findBestFit(
      Shape shape, Set<WorkerId> avoid, FreeAccelerators preferred) {
    int[] best = null;
    int bestFree = Integer.MAX_VALUE;
    int bestToPreempt = Integer.MAX_VALUE;
    long bestCostMillis = Long.MAX_VALUE;
    for (int[] group : layout.groups.get(shape.adjacency())) {
      int free = freeCountIfFits(group, shape, avoid);
      if (free < 0) {
        continue;
      }
      int toPreempt =
          preferred == this ? 0 : Math.max(0, shape.accelerators() - preferred.freeCount(group));
      long costMillis = toPreempt == 0 ? 0 : preferred.preemptionCostMillis(group);
      boolean sameCost = costMillis == bestCostMillis;
      if (costMillis < bestCostMillis
          || (sameCost && toPreempt < bestToPreempt)
          || (sameCost && toPreempt == bestToPreempt && free < bestFree)) {
        best = group;
        bestFree = free;
        bestToPreempt = toPreempt;
        bestCostMillis = costMillis;
      }
    }
    return best == null
        ? Optional.empty()
        : Optional.of(without(avoid).place(best, shape, preferred));
  }

  /**
   * Finds a placement of a shape that may include accelerators already held by its own job, using
   * as many of these as possible.
   *
   * @param shape the shape
   * @param held the accelerators of its own job, which are not in this set
   * @return the placement of each member, or empty if the shape does not fit
   */
  public Optional<List<Member>> findOverlapping(Shape shape, List<Member> held) {
    FreeAccelerators heldOnly = withOnly(held);
    FreeAccelerators freeOrHeld = copy();
    freeOrHeld.markMembersFree(held);
    int[] best = null;
    for (int[] group : layout.groups.get(shape.adjacency())) {
      boolean betterOverlap = best == null || heldOnly.freeCount(group) > heldOnly.freeCount(best);
      if (betterOverlap && freeOrHeld.freeCountIfFits(group, shape, Set.of()) >= 0) {
        best = group;
      }
    }
    return best == null
        ? Optional.empty()
        : Optional.of(freeOrHeld.placeOverlapping(best, shape, heldOnly));
  }

  /**
   * Finds a placement of a shape in the first group that fits it, in the order of worker names.
   * Does not modify this set.
   *
   * @param shape the shape
   * @return the placement of each member, or empty if the shape does not fit
   */
  public Optional<List<Member>> findFirstFit(Shape shape) {
    for (int[] group : layout.groups.get(shape.adjacency())) {
      if (freeCountIfFits(group, shape, Set.of()) >= 0) {
        return Optional.of(place(group, shape, this));
      }
    }
    return Optional.empty();
  }

  /**
   * Finds the group with the most free accelerators among those that can fit a shape once emptied,
   * whether or not the shape fits now.
   *
   * @param shape the shape
   * @param all a set over the same workers in which the group must fit the shape
   * @return a placement in that group within {@code all}, or empty if no group can fit the shape
   */
  public Optional<List<Member>> findMostFree(Shape shape, FreeAccelerators all) {
    int[] best = null;
    int bestFree = -1;
    for (int[] group : layout.groups.get(shape.adjacency())) {
      int free = freeCount(group);
      if (free > bestFree && all.freeCountIfFits(group, shape, Set.of()) >= 0) {
        best = group;
        bestFree = free;
      }
    }
    return best == null ? Optional.empty() : Optional.of(all.place(best, shape, this));
  }

  private int freeCount(int[] group) {
    int free = 0;
    for (int worker : group) {
      free += Long.bitCount(freeBits[worker]);
    }
    return free;
  }

  private long preemptionCostMillis(int[] group) {
    long costMillis = 0;
    for (int worker : group) {
      costMillis += preemptionCostMillis[worker];
    }
    return costMillis;
  }

  /** Returns the number of free accelerators in a group, or -1 if the shape does not fit there. */
  private int freeCountIfFits(int[] group, Shape shape, Set<WorkerId> avoid) {
    int free = 0;
    int members = 0;
    for (int worker : group) {
      int freeHere = freeCountOf(worker, avoid);
      free += freeHere;
      members += freeHere / shape.acceleratorsPerMember();
    }
    return members >= shape.members() ? free : -1;
  }

  private int freeCountOf(int worker, Set<WorkerId> avoid) {
    boolean avoided = !avoid.isEmpty() && avoid.contains(layout.workers.get(worker).id());
    return avoided ? 0 : Long.bitCount(freeBits[worker]);
  }

  private FreeAccelerators without(Set<WorkerId> avoid) {
    if (avoid.isEmpty()) {
      return this;
    }
    FreeAccelerators rest = copy();
    for (WorkerId id : avoid) {
      Integer worker = layout.indexOf.get(id);
      if (worker != null) {
        rest.freeBits[worker] = 0;
      }
    }
    return rest;
  }

  /** Orders workers by their number of free accelerators, ascending. */
  private Comparator<Integer> byFreeCount() {
    return Comparator.comparingInt(worker -> Long.bitCount(freeBits[worker]));
  }

  private List<Member> place(int[] group, Shape shape, FreeAccelerators preferred) {
    List<Member> members = new ArrayList<>(shape.members());
    for (int worker : sorted(group, byFreeCount())) {
      int wanted = shape.members() - members.size();
      placeOn(worker, wanted, shape, preferred, members);
    }
    return members;
  }

  /** Places members first on accelerators of their own job, then the remaining members. */
  private List<Member> placeOverlapping(int[] group, Shape shape, FreeAccelerators heldOnly) {
    FreeAccelerators remaining = copy();
    List<Member> members = new ArrayList<>(shape.members());
    int size = shape.acceleratorsPerMember();
    for (int worker : sorted(group, heldOnly.byFreeCount().reversed())) {
      int overlapping = (Long.bitCount(heldOnly.freeBits[worker]) + size - 1) / size;
      int wanted = Math.min(overlapping, shape.members() - members.size());
      remaining.placeOn(worker, wanted, shape, heldOnly, members);
    }
    remaining.markMembersHeld(members);
    for (int worker : sorted(group, remaining.byFreeCount())) {
      remaining.placeOn(worker, shape.members() - members.size(), shape, heldOnly, members);
    }
    return members;
  }

  private void placeOn(
      int worker, int wanted, Shape shape, FreeAccelerators preferred, List<Member> members) {
    int capacity = Long.bitCount(freeBits[worker]) / shape.acceleratorsPerMember();
    long bits = freeBits[worker];
    for (int i = 0; i < Math.min(capacity, wanted); i++) {
      List<Integer> indices = new ArrayList<>(shape.acceleratorsPerMember());
      for (int k = 0; k < shape.acceleratorsPerMember(); k++) {
        long preferredBits = bits & preferred.freeBits[worker];
        int index = Long.numberOfTrailingZeros(preferredBits != 0 ? preferredBits : bits);
        indices.add(index);
        bits &= ~(1L << index);
      }
      members.add(new Member(layout.workers.get(worker).id(), indices));
    }
  }

  private static List<Integer> sorted(int[] group, Comparator<Integer> order) {
    return Arrays.stream(group).boxed().sorted(order).toList();
  }
}
