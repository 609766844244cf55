package org.peridotroute.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * Guaranteed shapes that their owners do not use at present. An attempt inside a guarantee uses one
 * whole guaranteed shape, the smallest unused one that holds it. Mutable; owned by one pass of a
 * policy and used by one thread.
 */
public final class Guarantees {
  private static final Comparator<Shape> BY_SIZE =
      Comparator.comparingInt(Shape::accelerators)
          .thenComparingInt(Shape::members)
          .thenComparing(Shape::adjacency);

  private final Map<OrganisationId, List<Shape>> unused = new TreeMap<>();

  private Guarantees() {}

  /**
   * Works out what is unused.
   *
   * @param config declared organisations
   * @param jobs held accelerators
   * @return the unused shapes
   */
  public static Guarantees unused(ConfigState config, JobState jobs) {
    Guarantees guarantees = new Guarantees();
    config
        .organisations()
        .forEach((id, declared) -> guarantees.unused.put(id, shapes(declared.organisation())));
    jobs.allocations().values().stream()
        .filter(held -> !held.borrowed())
        .sorted(Comparator.comparing(Guarantees::shapeOf, BY_SIZE).reversed())
        .forEach(held -> guarantees.use(held.job().organisation(), shapeOf(held)));
    return guarantees;
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

  private static Shape shapeOf(Allocation held) {
    List<Member> members = held.members();
    return new Shape(members.size(), members.get(0).accelerators().size(), null);
  }

  /**
   * Finds the smallest unused guaranteed shape that holds a job's shape.
   *
   * @param organisation the owner
   * @param shape the job's shape
   * @return the guaranteed shape, or empty if none is unused
   */
  public Optional<Shape> find(OrganisationId organisation, Shape shape) {
    return unused.getOrDefault(organisation, List.of()).stream()
        .filter(guaranteed -> holds(guaranteed, shape))
        .findFirst();
  }

  /**
   * Marks the smallest unused guaranteed shape that holds a job's shape as used.
   *
   * @param organisation the owner
   * @param shape the job's shape
   */
  public void use(OrganisationId organisation, Shape shape) {
    find(organisation, shape).ifPresent(guaranteed -> unused.get(organisation).remove(guaranteed));
  }

  /**
   * Returns the unused shapes for which there is no room when all of them are wanted at once. Packs
   * greedily, the largest first, so that an answer of none is a proof and any other is not.
   *
   * @param room accelerators that are free or held by borrowers; not changed
   * @return by organisation, the shapes left over
   */
  public Map<OrganisationId, List<Shape>> unfit(Room room) {
    Room left = room.copy();
    Map<OrganisationId, List<Shape>> unfit = new TreeMap<>();
    record Wanted(OrganisationId organisation, Shape shape) {}
    List<Wanted> wanted = new ArrayList<>();
    unused.forEach((id, shapes) -> shapes.forEach(shape -> wanted.add(new Wanted(id, shape))));
    wanted.sort(Comparator.comparing(Wanted::shape, BY_SIZE).reversed());
    for (Wanted want : wanted) {
      Optional<List<Member>> found = left.find(want.shape());
      if (found.isPresent()) {
        found.get().forEach(member -> left.take(member.acceleratorIds()));
      } else {
        unfit.computeIfAbsent(want.organisation(), id -> new ArrayList<>()).add(want.shape());
      }
    }
    return unfit;
  }

  /**
   * Returns whether a job of one shape can use room guaranteed for another.
   *
   * @param guaranteed the guaranteed shape
   * @param shape the job's shape
   * @return whether the job fits into it member by member
   */
  public static boolean holds(Shape guaranteed, Shape shape) {
    int perMember = guaranteed.acceleratorsPerMember() / shape.acceleratorsPerMember();
    boolean nearEnough = guaranteed.adjacency().compareTo(shape.adjacency()) <= 0;
    return nearEnough && (long) perMember * guaranteed.members() >= shape.members();
  }
}
