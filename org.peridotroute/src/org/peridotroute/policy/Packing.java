package org.peridotroute.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotroute.lib.Member;

/**
 * Where guaranteed shapes would go if all of them were wanted at once. Room of one shape can be
 * used by its owner without touching that of the others. Mutable; owned by one pass of a policy and
 * used by one thread.
 */
public final class Packing {
  private final Map<Guarantees.Owned, List<List<Member>>> rooms = new HashMap<>();
  private final List<List<Member>> usedRooms = new ArrayList<>();
  private final List<Guarantees.Owned> unfit = new ArrayList<>();

  void add(Guarantees.Owned owned, List<Member> room) {
    rooms.computeIfAbsent(owned, key -> new ArrayList<>()).add(room);
  }

  void addUsed(List<Member> room) {
    usedRooms.add(room);
  }

  void addUnfit(Guarantees.Owned owned) {
    unfit.add(owned);
  }

  /** Returns the shapes for which there is no room. */
  public List<Guarantees.Owned> unfit() {
    return List.copyOf(unfit);
  }

  /**
   * Returns the room of one unused shape, of several the one with most free accelerators.
   *
   * @param owned the owner and the shape
   * @param free accelerators that are held by nobody
   * @return the room, empty if the shape does not fit
   */
  public Optional<List<Member>> find(Guarantees.Owned owned, Room free) {
    return rooms.getOrDefault(owned, List.of()).stream()
        .max(Comparator.comparingInt(free::countFree));
  }

  /**
   * Returns what is free and not in the room of any shape.
   *
   * @param free accelerators that are held by nobody; not changed
   * @return the rest
   */
  public Room unpacked(Room free) {
    Room rest = free.copy();
    rooms.values().forEach(ofShape -> ofShape.forEach(rest::takeMembers));
    usedRooms.forEach(rest::takeMembers);
    return rest;
  }

  /**
   * Notes that the owner of a shape uses it now. Its room stays its own.
   *
   * @param owned the owner and the shape
   * @param room the room, as {@link #find} gave it
   */
  public void use(Guarantees.Owned owned, List<Member> room) {
    rooms.get(owned).remove(room);
    usedRooms.add(room);
  }
}
