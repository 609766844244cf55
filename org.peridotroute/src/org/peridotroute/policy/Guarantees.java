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
 * The guaranteed shapes of all organisations, divided into used and unused ones. An attempt inside
 * a guarantee uses one whole guaranteed shape: the smallest unused one that can hold it. Mutable;
 * owned by one scheduling pass and used by one thread.
 */
public final class Guarantees {
  private static final Comparator<Shape> BY_SIZE =
      Comparator.comparingInt(Shape::accelerators)
          .thenComparingInt(Shape::members)
          .thenComparing(Shape::adjacency);

  private final Map<OrganisationId, List<Shape>> unused = new TreeMap<>();
  private final List<Assignment> used = new ArrayList<>();

  private Guarantees() {}

  /**
   * A guaranteed shape and its owner.
   *
   * @param owner the organisation
   * @param shape the shape
   */
  public record OwnedShape(OrganisationId owner, Shape shape) {}

  /**
   * A guaranteed shape together with the placement of the job that uses all or part of it.
   *
   * @param owned the guaranteed shape
   * @param members the job's placement; empty for an unused shape that is to be packed
   */
  private record Assignment(OwnedShape owned, List<Member> members) {}

  /**
   * Computes which guaranteed shapes are unused in a state.
   *
   * @param config the declared organisations
   * @param jobs the jobs and their allocations; attempts that have ended use no shape even while
   *     their accelerators are being released
   * @return the guaranteed shapes, with those of running attempts marked as used
   */
  public static Guarantees unused(ConfigState config, JobState jobs) {
    Guarantees guarantees = declared(config);
    jobs.allocations().values().stream()
        .filter(allocation -> !allocation.borrowed() && !allocation.releasing())
        .sorted(
            Comparator.comparing((Allocation allocation) -> shapeOf(allocation, jobs), BY_SIZE)
                .reversed())
        .forEach(
            allocation ->
                guarantees
                    .findUnused(allocation.job().organisation(), shapeOf(allocation, jobs))
                    .ifPresent(owned -> guarantees.markUsed(owned, allocation.members())));
    return guarantees;
  }

  private static Shape shapeOf(Allocation allocation, JobState jobs) {
    return jobs.jobs().get(allocation.job()).spec().shape();
  }

  /**
   * Returns all guaranteed shapes, marked as unused.
   *
   * @param config the declared organisations
   * @return the shapes
   */
  public static Guarantees declared(ConfigState config) {
    Guarantees guarantees = new Guarantees();
    config
        .organisations()
        .forEach((id, declared) -> guarantees.unused.put(id, shapes(declared.organisation())));
    return guarantees;
  }

  /** Returns an independent copy. */
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
   * Finds the smallest unused guaranteed shape that can hold a job's shape.
   *
   * @param organisation the owner
   * @param shape the job's shape
   * @return the guaranteed shape, or empty if no unused one can hold the job
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
   * @param members the placement of the job that uses it
   */
  public void markUsed(OwnedShape owned, List<Member> members) {
    unused.get(owned.owner()).remove(owned.shape());
    used.add(new Assignment(owned, members));
  }

  /**
   * Packs all guaranteed shapes at once. This includes used shapes: each must fit as a whole again
   * when its job ends, and may therefore include the accelerators that the job holds. The packing
   * is greedy, largest shape first: if all shapes fit, this proves that a packing exists, but an
   * unplaced shape does not prove that none exists.
   *
   * @param reclaimable accelerators that are free or held by borrowers; not modified
   * @param preferred accelerators that are chosen first
   * @return the placement of each shape, and the shapes that did not fit
   */
  public Packing pack(FreeAccelerators reclaimable, FreeAccelerators preferred) {
    FreeAccelerators remaining = reclaimable.copy();
    Packing packing = new Packing();
    List<Assignment> toPack = new ArrayList<>(used);
    unused.forEach(
        (id, shapes) ->
            shapes.forEach(
                shape -> toPack.add(new Assignment(new OwnedShape(id, shape), List.of()))));
    toPack.sort(
        Comparator.comparing((Assignment assignment) -> assignment.owned().shape(), BY_SIZE)
            .reversed());
    for (Assignment assignment : toPack) {
      Optional<List<Member>> found = pack(assignment, remaining, preferred);
      if (found.isEmpty()) {
        packing.addUnplaced(assignment.owned());
        continue;
      }
      remaining.markMembersHeld(found.get());
      if (assignment.members().isEmpty()) {
        packing.addUnused(assignment.owned(), found.get());
      } else {
        packing.addUsed(found.get());
      }
    }
    return packing;
  }

  private static Optional<List<Member>> pack(
      Assignment assignment, FreeAccelerators remaining, FreeAccelerators preferred) {
    Shape shape = assignment.owned().shape();
    if (assignment.members().isEmpty()) {
      return remaining.findBestFit(shape, Set.of(), preferred);
    }
    return remaining.findOverlapping(shape, assignment.members());
  }

  /**
   * Returns whether a job of one shape can run inside a guaranteed shape.
   *
   * @param guaranteed the guaranteed shape
   * @param shape the job's shape
   * @return whether all members of the job fit into members of the guaranteed shape, and these are
   *     at least as adjacent as the job requires
   */
  public static boolean canHold(Shape guaranteed, Shape shape) {
    int jobMembersPerMember = guaranteed.acceleratorsPerMember() / shape.acceleratorsPerMember();
    boolean adjacencySuffices = guaranteed.adjacency().compareTo(shape.adjacency()) <= 0;
    return adjacencySuffices
        && (long) jobMembersPerMember * guaranteed.members() >= shape.members();
  }
}
