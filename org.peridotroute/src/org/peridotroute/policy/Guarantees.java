package org.peridotroute.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.JobState;
import org.peridotroute.lib.GuaranteedShape;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;
import org.peridotroute.lib.Shape;

/**
 * Guaranteed shapes of all organisations, used or not at present. An attempt inside a guarantee
 * uses one whole guaranteed shape, the smallest unused one that holds it. Mutable; owned by one
 * pass of a policy and used by one thread.
 */
public final class Guarantees {
  private static final Comparator<Shape> BY_SIZE =
      Comparator.comparingInt(Shape::accelerators)
          .thenComparingInt(Shape::members)
          .thenComparing(Shape::adjacency);

  private final Map<OrganisationId, List<Shape>> unused = new TreeMap<>();
  private final List<UsedShape> used = new ArrayList<>();

  private Guarantees() {}

  /**
   * A guaranteed shape with its owner.
   *
   * @param owner the organisation
   * @param shape the shape
   */
  public record OwnedShape(OrganisationId owner, Shape shape) {}

  /**
   * A guaranteed shape that a job uses, in whole or in part.
   *
   * @param owned the shape
   * @param members where the job is
   */
  private record UsedShape(OwnedShape owned, List<Member> members) {}

  /**
   * Works out what is unused.
   *
   * @param config declared organisations
   * @param jobs held accelerators; those of attempts that are over use nothing any more
   * @return the unused shapes
   */
  public static Guarantees unused(ConfigState config, JobState jobs) {
    Guarantees guarantees = declared(config);
    jobs.allocations().values().stream()
        .filter(held -> !held.borrowed() && !held.releasing())
        .sorted(Comparator.comparing((Allocation held) -> shapeOf(held, jobs), BY_SIZE).reversed())
        .forEach(
            held ->
                guarantees
                    .findUnused(held.job().organisation(), shapeOf(held, jobs))
                    .ifPresent(owned -> guarantees.markUsed(owned, held.members())));
    return guarantees;
  }

  private static Shape shapeOf(Allocation held, JobState jobs) {
    return jobs.jobs().get(held.job()).spec().shape();
  }

  /**
   * Returns all guaranteed shapes, as if none were used.
   *
   * @param config declared organisations
   * @return the shapes
   */
  public static Guarantees declared(ConfigState config) {
    Guarantees guarantees = new Guarantees();
    config
        .organisations()
        .forEach((id, declared) -> guarantees.unused.put(id, shapes(declared.organisation())));
    return guarantees;
  }

  /** Returns a copy that can be changed without changing this one. */
  public Guarantees copy() {
    Guarantees copy = new Guarantees();
    unused.forEach((id, shapes) -> copy.unused.put(id, new ArrayList<>(shapes)));
    copy.used.addAll(used);
    return copy;
  }

  private static List<Shape> shapes(Organisation organisation) {
    List<Shape> shapes = new ArrayList<>();
    for (GuaranteedShape guaranteed : organisation.guarantees()) {
      for (int i = 0; i < guaranteed.count(); i++) {
        shapes.add(guaranteed.shape());
      }
    }
    shapes.sort(BY_SIZE);
    return shapes;
  }

  /**
   * Finds the smallest unused guaranteed shape that holds a job's shape.
   *
   * @param organisation the owner
   * @param shape the job's shape
   * @return the guaranteed shape, or empty if none is unused
   */
  public Optional<OwnedShape> findUnused(OrganisationId organisation, Shape shape) {
    return unused.getOrDefault(organisation, List.of()).stream()
        .filter(guaranteed -> canHold(guaranteed, shape))
        .findFirst()
        .map(guaranteed -> new OwnedShape(organisation, guaranteed));
  }

  /**
   * Marks an unused guaranteed shape as used.
   *
   * @param owned the owner and the shape
   * @param members where the job is that uses it
   */
  public void markUsed(OwnedShape owned, List<Member> members) {
    unused.get(owned.owner()).remove(owned.shape());
    used.add(new UsedShape(owned, members));
  }

  /**
   * Packs all shapes at once, the used ones among them: once its job has ended, each must fit as a
   * whole again, for which it may count on the job's own accelerators. Greedy, the largest first,
   * so that shapes which all fit are a proof, and one that does not is none.
   *
   * @param room accelerators that are free or held by borrowers; not changed
   * @param clear accelerators to be used first where there is a choice
   * @return where each goes
   */
  public Packing pack(FreeAccelerators room, FreeAccelerators clear) {
    FreeAccelerators left = room.copy();
    Packing packing = new Packing();
    List<UsedShape> wanted = new ArrayList<>(used);
    unused.forEach(
        (id, shapes) ->
            shapes.forEach(
                shape -> wanted.add(new UsedShape(new OwnedShape(id, shape), List.of()))));
    wanted.sort(Comparator.comparing((UsedShape want) -> want.owned().shape(), BY_SIZE).reversed());
    for (UsedShape want : wanted) {
      Optional<List<Member>> found = pack(want, left, clear);
      if (found.isEmpty()) {
        packing.addUnplaced(want.owned());
        continue;
      }
      left.markMembersHeld(found.get());
      if (want.members().isEmpty()) {
        packing.addUnused(want.owned(), found.get());
      } else {
        packing.addUsed(found.get());
      }
    }
    return packing;
  }

  private static Optional<List<Member>> pack(
      UsedShape want, FreeAccelerators left, FreeAccelerators clear) {
    Shape shape = want.owned().shape();
    if (want.members().isEmpty()) {
      return left.findBestFit(shape, Set.of(), clear);
    }
    return left.findOverlapping(shape, want.members());
  }

  /**
   * Returns whether a job of one shape can use room guaranteed for another.
   *
   * @param guaranteed the guaranteed shape
   * @param shape the job's shape
   * @return whether the job fits into it member by member
   */
  public static boolean canHold(Shape guaranteed, Shape shape) {
    int perMember = guaranteed.acceleratorsPerMember() / shape.acceleratorsPerMember();
    boolean nearEnough = guaranteed.adjacency().compareTo(shape.adjacency()) <= 0;
    return nearEnough && (long) perMember * guaranteed.members() >= shape.members();
  }
}
