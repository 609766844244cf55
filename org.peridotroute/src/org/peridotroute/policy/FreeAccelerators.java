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
 * Free accelerators during one pass of a policy, a bit for each, with the groups (racks, places)
 * that a gang must fit into. Copies share what does not change. Mutable; owned by the pass and used
 * by one thread.
 */
public final class FreeAccelerators {
  private final Layout layout;
  private final long[] freeBits;
  private final long[] lossMillis;

  /** What does not change during a pass: the workers and their groups, by number. */
  private static final class Layout {
    private final List<WorkerInfo> workers;
    private final Map<WorkerId, Integer> numbers = new HashMap<>();
    private final Map<Adjacency, int[][]> groups = new HashMap<>();
    private final int[] rackOfWorker;

    Layout(Collection<WorkerInfo> infos) {
      workers = infos.stream().sorted(Comparator.comparing(WorkerInfo::id)).toList();
      for (int i = 0; i < workers.size(); i++) {
        numbers.put(workers.get(i).id(), i);
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
          .map(numbersInGroup -> numbersInGroup.stream().mapToInt(Integer::intValue).toArray())
          .toArray(int[][]::new);
    }

    long allBits(int worker) {
      int count = workers.get(worker).accelerators();
      return count == Long.SIZE ? -1L : (1L << count) - 1;
    }
  }

  private FreeAccelerators(Layout layout, long[] freeBits, long[] lossMillis) {
    this.layout = layout;
    this.freeBits = freeBits;
    this.lossMillis = lossMillis;
  }

  /**
   * Makes a room in which every accelerator is free.
   *
   * @param infos the workers
   * @return the room
   */
  public static FreeAccelerators allOf(Collection<WorkerInfo> infos) {
    Layout layout = new Layout(infos);
    FreeAccelerators room =
        new FreeAccelerators(
            layout, new long[layout.workers.size()], new long[layout.workers.size()]);
    Arrays.setAll(room.freeBits, layout::allBits);
    return room;
  }

  /**
   * Makes a room with the same workers in which only some accelerators are free.
   *
   * @param members the free accelerators
   * @return the room
   */
  public FreeAccelerators withOnly(List<Member> members) {
    FreeAccelerators room = new FreeAccelerators(layout, new long[freeBits.length], lossMillis);
    members.forEach(member -> room.markFree(member.acceleratorIds()));
    return room;
  }

  /** Returns a copy that can be changed without changing this one. */
  public FreeAccelerators copy() {
    return new FreeAccelerators(layout, freeBits.clone(), lossMillis);
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
   * Marks accelerators as held. Those of workers that are not here are passed over.
   *
   * @param ids the accelerators
   */
  public void markHeld(Collection<AcceleratorId> ids) {
    for (AcceleratorId id : ids) {
      Integer worker = layout.numbers.get(id.worker());
      if (worker != null) {
        freeBits[worker] &= ~(1L << id.index());
      }
    }
  }

  /**
   * Marks accelerators of a placement as held.
   *
   * @param members the placement
   */
  public void markMembersHeld(List<Member> members) {
    members.forEach(member -> markHeld(member.acceleratorIds()));
  }

  /**
   * Notes what would be lost if a worker's accelerators were cleared. Shared by all copies.
   *
   * @param id the worker
   * @param acceleratorMillis work that would have to be done again
   */
  public void addPreemptionCost(WorkerId id, long acceleratorMillis) {
    Integer worker = layout.numbers.get(id);
    if (worker != null) {
      lossMillis[worker] += acceleratorMillis;
    }
  }

  /**
   * Marks accelerators as free. Those of workers that are not here are passed over.
   *
   * @param ids the accelerators
   */
  public void markFree(Collection<AcceleratorId> ids) {
    for (AcceleratorId id : ids) {
      Integer worker = layout.numbers.get(id.worker());
      if (worker != null && id.index() < layout.workers.get(worker).accelerators()) {
        freeBits[worker] |= 1L << id.index();
      }
    }
  }

  /**
   * Marks accelerators of a placement as free.
   *
   * @param members the placement
   */
  public void markMembersFree(List<Member> members) {
    members.forEach(member -> markFree(member.acceleratorIds()));
  }

  /**
   * Takes all free accelerators of the racks that a placement touches.
   *
   * @param members the placement
   */
  public void markRacksHeld(List<Member> members) {
    for (Member member : members) {
      Integer worker = layout.numbers.get(member.worker());
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
   * @return whether they are
   */
  public boolean areFree(List<Member> members) {
    for (Member member : members) {
      Integer worker = layout.numbers.get(member.worker());
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
      Integer worker = layout.numbers.get(member.worker());
      for (int index : member.accelerators()) {
        if (worker != null && (freeBits[worker] & (1L << index)) != 0) {
          count++;
        }
      }
    }
    return count;
  }

  /**
   * Finds room for a shape: the tightest group of workers (worker, rack or place, by adjacency)
   * that holds it, and in the group the fullest workers first. Takes nothing.
   *
   * @param shape the shape
   * @return where each member goes, or empty if there is no room
   */
  public Optional<List<Member>> findBestFit(Shape shape) {
    return findBestFit(shape, Set.of(), this);
  }

  /**
   * Finds room for a shape in the group in which least work would be lost by clearing it, of
   * several such groups the one with fewest accelerators to clear, then the tightest.
   *
   * @param shape the shape
   * @param avoid workers to leave out
   * @param clear another room with the same workers; what is not free there has to be cleared
   * @return where each member goes, or empty if there is no room
   */
  public Optional<List<Member>> findBestFit(
      Shape shape, Set<WorkerId> avoid, FreeAccelerators clear) {
    int[] best = null;
    int bestFree = Integer.MAX_VALUE;
    int bestToClear = Integer.MAX_VALUE;
    long bestLossMillis = Long.MAX_VALUE;
    for (int[] group : layout.groups.get(shape.adjacency())) {
      int free = freeIfHolds(group, shape, avoid);
      if (free < 0) {
        continue;
      }
      int toClear = clear == this ? 0 : Math.max(0, shape.accelerators() - clear.free(group));
      long loss = toClear == 0 ? 0 : clear.loss(group);
      boolean sameLoss = loss == bestLossMillis;
      if (loss < bestLossMillis
          || (sameLoss && toClear < bestToClear)
          || (sameLoss && toClear == bestToClear && free < bestFree)) {
        best = group;
        bestFree = free;
        bestToClear = toClear;
        bestLossMillis = loss;
      }
    }
    return best == null ? Optional.empty() : Optional.of(avoiding(avoid).place(best, shape, clear));
  }

  /**
   * Finds room for a shape that may count on accelerators which its own job holds, using as many of
   * these as it can.
   *
   * @param shape the shape
   * @param cells the accelerators of its own job, which are not free here
   * @return where each member goes, or empty if there is no room
   */
  public Optional<List<Member>> findOverlapping(Shape shape, List<Member> cells) {
    FreeAccelerators own = withOnly(cells);
    FreeAccelerators withOwn = copy();
    withOwn.markMembersFree(cells);
    int[] best = null;
    for (int[] group : layout.groups.get(shape.adjacency())) {
      boolean nearer = best == null || own.free(group) > own.free(best);
      if (nearer && withOwn.freeIfHolds(group, shape, Set.of()) >= 0) {
        best = group;
      }
    }
    return best == null ? Optional.empty() : Optional.of(withOwn.placeAround(best, shape, own));
  }

  /**
   * Finds room for a shape in the first group that holds it, in the order of names. Takes nothing.
   *
   * @param shape the shape
   * @return where each member goes, or empty if there is no room
   */
  public Optional<List<Member>> findFirstFit(Shape shape) {
    for (int[] group : layout.groups.get(shape.adjacency())) {
      if (freeIfHolds(group, shape, Set.of()) >= 0) {
        return Optional.of(place(group, shape, this));
      }
    }
    return Optional.empty();
  }

  /**
   * Finds the group that is nearest to holding a shape, whether or not it does now.
   *
   * @param shape the shape
   * @param whole a room with the same workers in which the group must hold the shape
   * @return a placement in that group as if it were whole, or empty if no group could ever hold it
   */
  public Optional<List<Member>> findMostFree(Shape shape, FreeAccelerators whole) {
    int[] best = null;
    int bestFree = -1;
    for (int[] group : layout.groups.get(shape.adjacency())) {
      int free = free(group);
      if (free > bestFree && whole.freeIfHolds(group, shape, Set.of()) >= 0) {
        best = group;
        bestFree = free;
      }
    }
    return best == null ? Optional.empty() : Optional.of(whole.place(best, shape, this));
  }

  private int free(int[] group) {
    int free = 0;
    for (int worker : group) {
      free += Long.bitCount(freeBits[worker]);
    }
    return free;
  }

  private long loss(int[] group) {
    long loss = 0;
    for (int worker : group) {
      loss += lossMillis[worker];
    }
    return loss;
  }

  /** Returns the free accelerators of a group that holds the shape, or -1 if it does not. */
  private int freeIfHolds(int[] group, Shape shape, Set<WorkerId> avoid) {
    int free = 0;
    int members = 0;
    for (int worker : group) {
      int here = usable(worker, avoid);
      free += here;
      members += here / shape.acceleratorsPerMember();
    }
    return members >= shape.members() ? free : -1;
  }

  private int usable(int worker, Set<WorkerId> avoid) {
    boolean avoided = !avoid.isEmpty() && avoid.contains(layout.workers.get(worker).id());
    return avoided ? 0 : Long.bitCount(freeBits[worker]);
  }

  private FreeAccelerators avoiding(Set<WorkerId> avoid) {
    if (avoid.isEmpty()) {
      return this;
    }
    FreeAccelerators rest = copy();
    for (WorkerId id : avoid) {
      Integer worker = layout.numbers.get(id);
      if (worker != null) {
        rest.freeBits[worker] = 0;
      }
    }
    return rest;
  }

  /** Orders workers by their free accelerators, the fullest first. */
  private Comparator<Integer> byFree() {
    return Comparator.comparingInt(worker -> Long.bitCount(freeBits[worker]));
  }

  private List<Member> place(int[] group, Shape shape, FreeAccelerators clear) {
    List<Member> members = new ArrayList<>(shape.members());
    for (int worker : sorted(group, byFree())) {
      int wanted = shape.members() - members.size();
      placeOn(worker, wanted, shape, clear, members);
    }
    return members;
  }

  /** Places members first where each covers accelerators of its own job, then the rest. */
  private List<Member> placeAround(int[] group, Shape shape, FreeAccelerators own) {
    FreeAccelerators left = copy();
    List<Member> members = new ArrayList<>(shape.members());
    int size = shape.acceleratorsPerMember();
    for (int worker : sorted(group, own.byFree().reversed())) {
      int covering = (Long.bitCount(own.freeBits[worker]) + size - 1) / size;
      int wanted = Math.min(covering, shape.members() - members.size());
      left.placeOn(worker, wanted, shape, own, members);
    }
    left.markMembersHeld(members);
    for (int worker : sorted(group, left.byFree())) {
      left.placeOn(worker, shape.members() - members.size(), shape, own, members);
    }
    return members;
  }

  private void placeOn(
      int worker, int wanted, Shape shape, FreeAccelerators clear, List<Member> members) {
    int here = Long.bitCount(freeBits[worker]) / shape.acceleratorsPerMember();
    long bits = freeBits[worker];
    for (int i = 0; i < Math.min(here, wanted); i++) {
      List<Integer> indices = new ArrayList<>(shape.acceleratorsPerMember());
      for (int k = 0; k < shape.acceleratorsPerMember(); k++) {
        long liked = bits & clear.freeBits[worker];
        int index = Long.numberOfTrailingZeros(liked != 0 ? liked : bits);
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
