package org.peridotroute.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotroute.lib.Member;

/**
 * Reserves accelerators for every guaranteed shape as if all of them were requested at once. The
 * owner of a shape can use its reserved placement without affecting those of the other shapes.
 * Mutable; owned by one scheduling pass and used by one thread.
 */
public final class Packing {
  private final Map<Guarantees.OwnedShape, List<List<Member>>> unusedPlacements = new HashMap<>();
  private final List<List<Member>> usedPlacements = new ArrayList<>();
  private final List<Guarantees.OwnedShape> unplaced = new ArrayList<>();

  void addUnused(Guarantees.OwnedShape owned, List<Member> placement) {
    unusedPlacements.computeIfAbsent(owned, key -> new ArrayList<>()).add(placement);
  }

  void addUsed(List<Member> placement) {
    usedPlacements.add(placement);
  }

  void addUnplaced(Guarantees.OwnedShape owned) {
    unplaced.add(owned);
  }

  /** Returns the shapes that did not fit. */
  public List<Guarantees.OwnedShape> unplaced() {
    return List.copyOf(unplaced);
  }

  /**
   * Returns the placement reserved for an unused shape. If the owner has several equal shapes,
   * returns the placement with the most free accelerators.
   *
   * @param owned the owner and the shape
   * @param free accelerators that no job holds
   * @return the reserved placement, or empty if the shape did not fit
   */
  public Optional<List<Member>> findPlacement(Guarantees.OwnedShape owned, FreeAccelerators free) {
    return unusedPlacements.getOrDefault(owned, List.of()).stream()
        .max(Comparator.comparingInt(free::countFree));
  }

  /**
   * Returns the free accelerators that are not reserved for any guaranteed shape.
   *
   * @param free accelerators that no job holds; not modified
   * @return a new set without the reserved accelerators
   */
  public FreeAccelerators unreserved(FreeAccelerators free) {
    FreeAccelerators rest = free.copy();
    unusedPlacements.values().forEach(placements -> placements.forEach(rest::markMembersHeld));
    usedPlacements.forEach(rest::markMembersHeld);
    return rest;
  }

  /**
   * Marks a guaranteed shape as used by its owner. Its placement stays reserved.
   *
   * @param owned the owner and the shape
   * @param placement the placement that {@link #findPlacement} returned
   */
  public void markUsed(Guarantees.OwnedShape owned, List<Member> placement) {
    unusedPlacements.get(owned).remove(placement);
    usedPlacements.add(placement);
  }
}
