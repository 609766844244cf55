package org.peridotroute.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.ConfigFold;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.FoldResult;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobFold;
import org.peridotroute.fold.JobState;
import org.peridotroute.journal.AttemptEnd;
import org.peridotroute.journal.Envelope;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.AcceleratorId;
import org.peridotroute.lib.Adjacency;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.GuaranteedShape;
import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;
import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.RackId;
import org.peridotroute.lib.Shape;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.lib.WorkerInfo;

/**
 * Checks the policy on small clusters against an exhaustive search. Guards against decisions that
 * leave an unused guaranteed shape without accelerators that are free or can be reclaimed.
 */
final class GuaranteedBestFitTest {
  private static final int RACKS = 2;
  private static final int WORKERS_PER_RACK = 2;
  private static final int ACCELERATORS = 4;
  private static final int PASSES = 40;
  private static final List<Shape> GUARANTEED =
      List.of(
          new Shape(2, 4, Adjacency.RACK),
          new Shape(2, 2, Adjacency.RACK),
          new Shape(2, 2, Adjacency.RACK));
  private static final List<Shape> REQUESTED =
      List.of(
          new Shape(1, 1, Adjacency.RACK),
          new Shape(2, 1, Adjacency.RACK),
          new Shape(2, 2, Adjacency.RACK),
          new Shape(1, 4, Adjacency.RACK),
          new Shape(2, 4, Adjacency.RACK));

  private final PlacementPolicy policy = new GuaranteedBestFit(1_000);
  private JobState jobs = JobState.EMPTY;
  private ConfigState config = ConfigState.EMPTY;
  private long nowMillis;
  private int submitted;

  @Property(tries = 150, seed = "31")
  void unusedGuaranteedShapesAlwaysFitIntoFreeAndBorrowedAccelerators(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    jobs = JobState.EMPTY;
    config = ConfigState.EMPTY;
    submitted = 0;
    for (int i = 0; i < GUARANTEED.size(); i++) {
      declare("org-" + i, GUARANTEED.get(i));
    }
    declare("guest", null);
    fold(new LogRecord.PlannerClaimed(new VmId("vm-1"), 0));
    for (int pass = 0; pass < PASSES; pass++) {
      nowMillis += random.nextInt(2_000);
      submit(random);
      endAttempts(random);
      apply(policy.decide(new ClusterView(jobs, config, directory(), nowMillis)));
      assertThat(JobFold.invariantViolations(jobs)).isEmpty();
      assertThat(allUnusedFit()).isTrue();
    }
  }

  private void declare(String name, Shape shape) {
    List<GuaranteedShape> shapes =
        shape == null ? List.of() : List.of(new GuaranteedShape(shape, 1));
    LogRecord record =
        new LogRecord.OrganisationPut(new OrganisationId(name), new Organisation(shapes, ""), 0);
    config = ConfigFold.fold(config, entry(config.offset() + 1, record)).state();
  }

  private void submit(SplittableRandom random) {
    List<String> owners = List.of("org-0", "org-1", "org-2", "guest");
    for (int i = random.nextInt(4); i > 0; i--) {
      JobKey key = JobKey.of(owners.get(random.nextInt(owners.size())), "job-" + submitted++);
      JobSpec spec =
          JobSpec.newBuilder(REQUESTED.get(random.nextInt(REQUESTED.size())))
              .setIdempotent(true)
              .setCheckpointable(random.nextInt(2) == 0)
              .build();
      fold(new LogRecord.JobSubmitted(key, spec, "r"));
    }
  }

  /** Ends all attempts with a requested reclaim, and others at random. */
  private void endAttempts(SplittableRandom random) {
    for (Allocation allocation : List.copyOf(jobs.allocations().values())) {
      Job job = jobs.jobs().get(allocation.job());
      if (job.reclaimRequested() || random.nextInt(5) == 0) {
        AttemptEnd end = job.reclaimRequested() ? AttemptEnd.PREEMPTED : AttemptEnd.CANCELLED;
        fold(new LogRecord.AttemptEnded(job.key(), allocation.token(), end, null, null, null));
        fold(new LogRecord.Released(allocation.token()));
      }
    }
  }

  private void apply(List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Place place) {
        fold(
            new LogRecord.Placed(
                jobs.epoch(), place.job(), place.attempt(), place.borrowed(), place.members()));
        List<String> leases = place.members().stream().map(member -> "lease").toList();
        fold(new LogRecord.Started(place.job(), jobs.offset(), leases));
      } else if (decision instanceof Decision.Reclaim reclaim) {
        fold(
            new LogRecord.ReclaimRequested(
                jobs.epoch(), reclaim.job(), reclaim.token(), reclaim.owner()));
      }
    }
  }

  /** Searches exhaustively for a packing of all unused guaranteed shapes. */
  private boolean allUnusedFit() {
    int[] free = new int[RACKS * WORKERS_PER_RACK];
    Arrays.fill(free, ACCELERATORS);
    for (Allocation allocation : jobs.allocations().values()) {
      if (!allocation.borrowed()) {
        allocation.acceleratorIds().stream()
            .map(AcceleratorId::worker)
            .forEach(worker -> free[indexOf(worker)]--);
      }
    }
    List<Shape> shapes = new ArrayList<>();
    Guarantees unused = Guarantees.unused(config, jobs);
    for (int i = 0; i < GUARANTEED.size(); i++) {
      unused
          .findUnused(new OrganisationId("org-" + i), GUARANTEED.get(i))
          .ifPresent(owned -> shapes.add(owned.shape()));
    }
    return fit(shapes, 0, free);
  }

  private static boolean fit(List<Shape> shapes, int next, int[] free) {
    if (next == shapes.size()) {
      return true;
    }
    for (int rack = 0; rack < RACKS; rack++) {
      if (fitMembers(shapes, next, rack, shapes.get(next).members(), free)) {
        return true;
      }
    }
    return false;
  }

  private static boolean fitMembers(List<Shape> shapes, int next, int rack, int left, int[] free) {
    if (left == 0) {
      return fit(shapes, next + 1, free);
    }
    int size = shapes.get(next).acceleratorsPerMember();
    for (int i = 0; i < WORKERS_PER_RACK; i++) {
      int worker = rack * WORKERS_PER_RACK + i;
      if (free[worker] >= size) {
        free[worker] -= size;
        boolean fits = fitMembers(shapes, next, rack, left - 1, free);
        free[worker] += size;
        if (fits) {
          return true;
        }
      }
    }
    return false;
  }

  private static int indexOf(WorkerId worker) {
    return Integer.parseInt(worker.value().substring(1));
  }

  private static Directory directory() {
    List<WorkerInfo> workers = new ArrayList<>();
    for (int i = 0; i < RACKS * WORKERS_PER_RACK; i++) {
      RackId rack = new RackId("rack-" + i / WORKERS_PER_RACK);
      PlaceId place = new PlaceId("quimper");
      workers.add(new WorkerInfo(new WorkerId("w" + i), rack, place, ACCELERATORS, false, ""));
    }
    return new Directory(List.of(), workers);
  }

  private void fold(LogRecord record) {
    FoldResult<JobState> folded = JobFold.fold(jobs, entry(jobs.offset() + 1, record));
    assertThat(folded.verdict().isAccepted()).isTrue();
    jobs = folded.state();
  }

  private LogEntry entry(long offset, LogRecord record) {
    return new LogEntry(
        offset, new Envelope(Envelope.VERSION, new Incarnation("i1"), offset, nowMillis, record));
  }
}
