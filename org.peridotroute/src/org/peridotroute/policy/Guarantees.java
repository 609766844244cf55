package org.peridotroute.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.Job;
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
   * A guaranteed shape with its owner.
   *
   * @param owner the organisation
   * @param shape the shape
   */
  public record Owned(OrganisationId owner, Shape shape) {}

  /**
   * Works out what is unused.
   *
   * @param config declared organisations
   * @param jobs held accelerators; those of attempts that are over use nothing any more
   * @return the unused shapes
   */
  public static Guarantees unused(ConfigState config, JobState jobs) {
    Guarantees guarantees = new Guarantees();
    config
        .organisations()
        .forEach((id, declared) -> guarantees.unused.put(id, shapes(declared.organisation())));
    jobs.allocations().values().stream()
        .filter(held -> !held.borrowed() && !held.releasing())
        .map(held -> jobs.jobs().get(held.job()))
        .sorted(Comparator.comparing((Job job) -> job.spec().shape(), BY_SIZE).reversed())
        .forEach(
            job ->
                guarantees
                    .find(job.key().organisation(), job.spec().shape())
                    .ifPresent(guarantees::use));
    return guarantees;
  }

  /** Returns a copy that can be changed without changing this one. */
  public Guarantees copy() {
    Guarantees copy = new Guarantees();
    unused.forEach((id, shapes) -> copy.unused.put(id, new ArrayList<>(shapes)));
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
  public Optional<Owned> find(OrganisationId organisation, Shape shape) {
    return unused.getOrDefault(organisation, List.of()).stream()
        .filter(guaranteed -> holds(guaranteed, shape))
        .findFirst()
        .map(guaranteed -> new Owned(organisation, guaranteed));
  }

  /**
   * Marks an unused guaranteed shape as used.
   *
   * @param owned the owner and the shape
   */
  public void use(Owned owned) {
    unused.get(owned.owner()).remove(owned.shape());
  }

  /**
   * Packs all unused shapes at once. Greedy, the largest first, so that shapes which all fit are a
   * proof, and one that does not is none.
   *
   * @param room accelerators that are free or held by borrowers; not changed
   * @param preferred accelerators to be used first where there is a choice
   * @return where each goes
   */
  public Packing pack(Room room, Room preferred) {
    Room left = room.copy();
    Packing packing = new Packing();
    List<Owned> wanted = new ArrayList<>();
    unused.forEach((id, shapes) -> shapes.forEach(shape -> wanted.add(new Owned(id, shape))));
    wanted.sort(Comparator.comparing(Owned::shape, BY_SIZE).reversed());
    Set<Shape> tooLarge = new HashSet<>();
    for (Owned want : wanted) {
      Optional<List<Member>> found =
          tooLarge.contains(want.shape())
              ? Optional.empty()
              : left.find(want.shape(), Set.of(), preferred);
      if (found.isPresent()) {
        left.takeMembers(found.get());
        packing.add(want, found.get());
      } else {
        tooLarge.add(want.shape());
        packing.addUnfit(want);
      }
    }
    return packing;
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
