package org.peridotroute.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.peridotroute.lib.AcceleratorId;
import org.peridotroute.lib.Adjacency;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.RackId;
import org.peridotroute.lib.Shape;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.lib.WorkerInfo;

/**
 * Free accelerators during one pass of a policy, by place, rack and worker. Mutable; owned by the
 * pass and used by one thread.
 */
public final class Room {
  private final Map<WorkerId, WorkerRoom> workers = new TreeMap<>();
  private final Map<RackId, List<WorkerRoom>> racks = new TreeMap<>();
  private final Map<PlaceId, List<WorkerRoom>> places = new TreeMap<>();

  private Room() {}

  /**
   * Makes a room in which every accelerator is free.
   *
   * @param infos the workers
   * @return the room
   */
  public static Room allFree(Collection<WorkerInfo> infos) {
    Room room = new Room();
    for (WorkerInfo info : infos) {
      WorkerRoom worker = new WorkerRoom(info);
      room.workers.put(info.id(), worker);
      room.racks.computeIfAbsent(info.rack(), rack -> new ArrayList<>()).add(worker);
      room.places.computeIfAbsent(info.place(), place -> new ArrayList<>()).add(worker);
    }
    return room;
  }

  /**
   * Makes a room in which only some accelerators are free.
   *
   * @param members the free accelerators
   * @param like a room with the same workers
   * @return the room
   */
  public static Room only(List<Member> members, Room like) {
    Room room = like.copy();
    room.workers.values().forEach(worker -> worker.freeBits = 0);
    members.forEach(member -> room.give(member.acceleratorIds()));
    return room;
  }

  /** Returns a copy that can be changed without changing this one. */
  public Room copy() {
    Room copy = allFree(workers.values().stream().map(worker -> worker.info).toList());
    workers.forEach((id, worker) -> copy.workers.get(id).freeBits = worker.freeBits);
    return copy;
  }

  /** Returns the number of free accelerators. */
  public int free() {
    return workers.values().stream().mapToInt(WorkerRoom::free).sum();
  }

  /**
   * Marks accelerators as held. Those of workers that are not here are passed over.
   *
   * @param ids the accelerators
   */
  public void take(Collection<AcceleratorId> ids) {
    for (AcceleratorId id : ids) {
      WorkerRoom worker = workers.get(id.worker());
      if (worker != null) {
        worker.freeBits &= ~(1L << id.index());
      }
    }
  }

  /**
   * Marks accelerators as free. Those of workers that are not here are passed over.
   *
   * @param ids the accelerators
   */
  public void give(Collection<AcceleratorId> ids) {
    for (AcceleratorId id : ids) {
      WorkerRoom worker = workers.get(id.worker());
      if (worker != null && id.index() < worker.info.accelerators()) {
        worker.freeBits |= 1L << id.index();
      }
    }
  }

  /**
   * Takes all free accelerators of a worker.
   *
   * @param id the worker
   */
  public void takeWorker(WorkerId id) {
    WorkerRoom worker = workers.get(id);
    if (worker != null) {
      worker.freeBits = 0;
    }
  }

  /**
   * Finds room for a shape: the tightest group of workers (worker, rack or place, by adjacency)
   * that holds it, and in the group the fullest workers first. Takes nothing.
   *
   * @param shape the shape
   * @return where each member goes, or empty if there is no room
   */
  public Optional<List<Member>> find(Shape shape) {
    return groups(shape.adjacency()).stream()
        .filter(group -> holds(group, shape))
        .min(Comparator.comparingInt(Room::freeIn))
        .map(group -> members(group, shape));
  }

  /**
   * Finds the groups of workers that could hold a shape, the ones with most free accelerators
   * first.
   *
   * @param shape the shape
   * @return for each group a placement
   */
  public List<List<Member>> findAll(Shape shape) {
    return groups(shape.adjacency()).stream()
        .filter(group -> holds(group, shape))
        .sorted(Comparator.<List<WorkerRoom>>comparingInt(Room::freeIn).reversed())
        .map(group -> members(group, shape))
        .toList();
  }

  /**
   * Returns the workers in the same rack as the one named.
   *
   * @param id a worker
   * @return the workers of its rack, empty if it is not here
   */
  public List<WorkerId> rackOf(WorkerId id) {
    WorkerRoom worker = workers.get(id);
    if (worker == null) {
      return List.of();
    }
    return racks.get(worker.info.rack()).stream().map(peer -> peer.info.id()).toList();
  }

  private Collection<List<WorkerRoom>> groups(Adjacency adjacency) {
    return switch (adjacency) {
      case WORKER -> workers.values().stream().map(worker -> List.of(worker)).toList();
      case RACK -> racks.values();
      case PLACE -> places.values();
    };
  }

  private static int freeIn(List<WorkerRoom> group) {
    return sum(group, WorkerRoom::free);
  }

  private static boolean holds(List<WorkerRoom> group, Shape shape) {
    return sum(group, worker -> worker.free() / shape.acceleratorsPerMember()) >= shape.members();
  }

  private static int sum(List<WorkerRoom> group, ToIntFunction<WorkerRoom> figure) {
    return group.stream().mapToInt(figure).sum();
  }

  private static List<Member> members(List<WorkerRoom> group, Shape shape) {
    List<Member> members = new ArrayList<>(shape.members());
    List<WorkerRoom> fullestFirst =
        group.stream().sorted(Comparator.comparingInt(WorkerRoom::free)).toList();
    for (WorkerRoom worker : fullestFirst) {
      int here = worker.free() / shape.acceleratorsPerMember();
      long bits = worker.freeBits;
      for (int i = 0; i < here && members.size() < shape.members(); i++) {
        List<Integer> indices = new ArrayList<>(shape.acceleratorsPerMember());
        for (int k = 0; k < shape.acceleratorsPerMember(); k++) {
          indices.add(Long.numberOfTrailingZeros(bits));
          bits &= bits - 1;
        }
        members.add(new Member(worker.info.id(), indices));
      }
    }
    return members;
  }

  /** Free accelerators of one worker, a bit for each. */
  private static final class WorkerRoom {
    private final WorkerInfo info;
    private long freeBits;

    WorkerRoom(WorkerInfo info) {
      this.info = info;
      freeBits = info.accelerators() == Long.SIZE ? -1L : (1L << info.accelerators()) - 1;
    }

    int free() {
      return Long.bitCount(freeBits);
    }
  }
}
