package org.peridotroute.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
   * Where unused shapes would go if all of them were wanted at once.
   *
   * @param cells room by owner and shape, one entry for each shape that fits
   * @param unfit shapes for which there is no room
   */
  public record Packing(Map<Owned, List<List<Member>>> cells, List<Owned> unfit) {
    /**
     * Returns the room of one unused shape.
     *
     * @param owned the owner and the shape
     * @return the room, empty if the shape does not fit
     */
    public Optional<List<Member>> find(Owned owned) {
      return cells.getOrDefault(owned, List.of()).stream().findFirst();
    }
  }

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
        .forEach(job -> guarantees.use(job.key().organisation(), job.spec().shape()));
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
   * Packs all unused shapes at once. Greedy, the largest first, so that shapes which all fit are a
   * proof, and one that does not is none.
   *
   * @param room accelerators that are free or held by borrowers; not changed
   * @return where each goes
   */
  public Packing pack(Room room) {
    Room left = room.copy();
    Map<Owned, List<List<Member>>> cells = new HashMap<>();
    List<Owned> unfit = new ArrayList<>();
    List<Owned> wanted = new ArrayList<>();
    unused.forEach((id, shapes) -> shapes.forEach(shape -> wanted.add(new Owned(id, shape))));
    wanted.sort(Comparator.comparing(Owned::shape, BY_SIZE).reversed());
    for (Owned want : wanted) {
      Optional<List<Member>> found = left.find(want.shape());
      if (found.isEmpty()) {
        unfit.add(want);
        continue;
      }
      found.get().forEach(member -> left.take(member.acceleratorIds()));
      cells.computeIfAbsent(want, key -> new ArrayList<>()).add(found.get());
    }
    return new Packing(cells, unfit);
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
