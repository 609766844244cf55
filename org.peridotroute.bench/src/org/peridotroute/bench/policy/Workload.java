package org.peridotroute.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.peridotroute.lib.Adjacency;
import org.peridotroute.lib.GuaranteedShape;
import org.peridotroute.lib.JobClass;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;
import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.RackId;
import org.peridotroute.lib.Shape;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.lib.WorkerInfo;

/**
 * Workers, organisations and a list of jobs.
 *
 * @param name its name
 * @param workers the workers
 * @param organisations the organisations with their guarantees
 * @param jobs the jobs, by time of submission
 */
public record Workload(
    String name,
    List<WorkerInfo> workers,
    Map<OrganisationId, Organisation> organisations,
    List<TraceJob> jobs) {
  private static final int WORKERS_PER_RACK = 8;
  private static final int ACCELERATORS = 8;
  private static final long MINUTE_MILLIS = 60_000;
  private static final double LOAD = 0.7;

  /** Copies the lists. */
  public Workload {
    workers = List.copyOf(workers);
    jobs = List.copyOf(jobs);
  }

  /**
   * A kind of job in a generated trace.
   *
   * @param share share of the jobs
   * @param jobClass the class
   * @param members members
   * @param acceleratorsPerMember accelerators of each
   * @param meanRunMillis mean of the exponential run time
   */
  private record Kind(
      double share, JobClass jobClass, int members, int acceleratorsPerMember, long meanRunMillis) {
    double acceleratorMillis() {
      return share * members * acceleratorsPerMember * meanRunMillis;
    }
  }

  private static final List<Kind> LE_GOFF =
      List.of(
          new Kind(0.60, JobClass.INTERACTIVE, 1, 1, MINUTE_MILLIS / 2),
          new Kind(0.10, JobClass.URGENT, 4, 1, 4 * MINUTE_MILLIS),
          new Kind(0.15, JobClass.BATCH, 2, 4, 15 * MINUTE_MILLIS),
          new Kind(0.10, JobClass.BATCH, 4, 8, 25 * MINUTE_MILLIS),
          new Kind(0.05, JobClass.BATCH, 8, 8, 30 * MINUTE_MILLIS));

  private static final List<Kind> HONESTY_TILL =
      List.of(
          new Kind(0.45, JobClass.INTERACTIVE, 1, 1, MINUTE_MILLIS),
          new Kind(0.10, JobClass.URGENT, 2, 2, 5 * MINUTE_MILLIS),
          new Kind(0.25, JobClass.BATCH, 3, 2, 20 * MINUTE_MILLIS),
          new Kind(0.08, JobClass.BATCH, 4, 8, 60 * MINUTE_MILLIS),
          new Kind(0.12, JobClass.BATCH, 8, 8, 60 * MINUTE_MILLIS));

  private static final List<Kind> TARGET =
      List.of(
          new Kind(0.30, JobClass.INTERACTIVE, 1, 2, 10 * MINUTE_MILLIS),
          new Kind(0.10, JobClass.URGENT, 4, 2, 60 * MINUTE_MILLIS),
          new Kind(0.35, JobClass.BATCH, 8, 1, 240 * MINUTE_MILLIS),
          new Kind(0.15, JobClass.BATCH, 32, 1, 300 * MINUTE_MILLIS),
          new Kind(0.10, JobClass.BATCH, 64, 1, 300 * MINUTE_MILLIS));

  /**
   * Generates a workload.
   *
   * @param name le-goff, honesty-till or target
   * @param seed the seed
   * @param jobCount how many jobs
   * @return the workload
   */
  public static Workload generate(String name, long seed, int jobCount) {
    SplittableRandom random = new SplittableRandom(seed);
    return switch (name) {
      case "le-goff" -> generate(name, random, jobCount, 30, 4, LE_GOFF);
      case "honesty-till" -> generate(name, random, jobCount, 30, 4, HONESTY_TILL);
      case "target" -> generate(name, random, jobCount, 1_100, 130, TARGET);
      default -> throw new IllegalArgumentException("no such workload: " + name);
    };
  }

  /**
   * Generates a backlog of jobs of the target's kinds.
   *
   * @param seed the seed
   * @param workerCount how many workers
   * @param jobCount how many jobs
   * @return the workload
   */
  public static Workload backlog(long seed, int workerCount, int jobCount) {
    int organisations = Math.max(4, workerCount * 130 / 1_100);
    SplittableRandom random = new SplittableRandom(seed);
    return generate("backlog", random, jobCount, workerCount, organisations, TARGET);
  }

  private static Workload generate(
      String name,
      SplittableRandom random,
      int jobCount,
      int workerCount,
      int organisationCount,
      List<Kind> kinds) {
    List<WorkerInfo> workers = workers(workerCount);
    double perJob = kinds.stream().mapToDouble(Kind::acceleratorMillis).sum();
    double meanGapMillis = perJob / (LOAD * workerCount * ACCELERATORS);
    List<TraceJob> jobs = new ArrayList<>(jobCount);
    double atMillis = 0;
    for (int i = 0; i < jobCount; i++) {
      atMillis += exponential(random, meanGapMillis);
      jobs.add(job(i, (long) atMillis, pick(random, kinds), organisationCount, random));
    }
    jobs.sort(Comparator.comparingLong(TraceJob::submitMillis));
    return new Workload(name, workers, organisations(organisationCount, workerCount), jobs);
  }

  private static TraceJob job(
      int number, long atMillis, Kind kind, int organisationCount, SplittableRandom random) {
    long trueRunMillis = 1_000 + (long) exponential(random, (double) kind.meanRunMillis());
    // Declared run times are off by up to a factor of eight, either way.
    long declaredMillis = (long) (trueRunMillis * Math.pow(8, random.nextDouble() * 2 - 1));
    return new TraceJob(
        atMillis,
        "org-" + random.nextInt(organisationCount),
        "job-" + number,
        kind.jobClass(),
        kind.members(),
        kind.acceleratorsPerMember(),
        Adjacency.RACK,
        true,
        random.nextInt(2) == 0,
        declaredMillis,
        trueRunMillis);
  }

  private static double exponential(SplittableRandom random, double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private static Kind pick(SplittableRandom random, List<Kind> kinds) {
    double dice = random.nextDouble();
    for (Kind kind : kinds) {
      dice -= kind.share();
      if (dice < 0) {
        return kind;
      }
    }
    return kinds.get(kinds.size() - 1);
  }

  private static List<WorkerInfo> workers(int count) {
    List<WorkerInfo> workers = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int rack = i / WORKERS_PER_RACK;
      workers.add(
          new WorkerInfo(
              new WorkerId("w-%04d".formatted(i)),
              new RackId("rack-%03d".formatted(rack)),
              new PlaceId("place-" + rack % 5),
              ACCELERATORS,
              false,
              null));
    }
    return workers;
  }

  /**
   * Guarantees of half of the capacity: a half rack each for most, a whole one for every fourth.
   */
  private static Map<OrganisationId, Organisation> organisations(int count, int workerCount) {
    Map<OrganisationId, Organisation> organisations = new LinkedHashMap<>();
    int budget = workerCount * ACCELERATORS / 2;
    for (int i = 0; i < count; i++) {
      boolean large = i % 4 == 0;
      Shape shape = new Shape(large ? 8 : 4, large ? 8 : 4, Adjacency.RACK);
      budget -= shape.accelerators();
      List<GuaranteedShape> shapes =
          budget >= 0 ? List.of(new GuaranteedShape(shape, 1)) : List.of();
      organisations.put(new OrganisationId("org-" + i), new Organisation(shapes, ""));
    }
    return organisations;
  }
}
