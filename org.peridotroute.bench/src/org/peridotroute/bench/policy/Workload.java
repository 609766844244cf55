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
 * Input of a replay: workers, organisations and the jobs that they submit.
 *
 * @param name name of the workload, part of the names of figures
 * @param workers the workers
 * @param organisations the organisations with their guarantees
 * @param jobs the jobs, sorted by submission time
 */
public record Workload(
    String name,
    List<WorkerInfo> workers,
    Map<OrganisationId, Organisation> organisations,
    List<TraceJob> jobs) {
  private static final int WORKERS_PER_RACK = 8;
  private static final int ACCELERATORS = 8;
  private static final long MINUTE_MILLIS = 60_000;
  private static final double TARGET_LOAD = 0.7;

  /** Makes defensive copies of the lists. */
  public Workload {
    workers = List.copyOf(workers);
    jobs = List.copyOf(jobs);
  }

  /**
   * A kind of job in a generated trace.
   *
   * @param share share of all jobs, from 0 to 1
   * @param jobClass class of the jobs
   * @param members number of members
   * @param acceleratorsPerMember number of accelerators of each member
   * @param meanRunMillis mean of the exponentially distributed run time
   */
  private record JobKind(
      double share, JobClass jobClass, int members, int acceleratorsPerMember, long meanRunMillis) {
    double acceleratorMillis() {
      return share * members * acceleratorsPerMember * meanRunMillis;
    }
  }

  private static final List<JobKind> LE_GOFF =
      List.of(
          new JobKind(0.60, JobClass.INTERACTIVE, 1, 1, MINUTE_MILLIS / 2),
          new JobKind(0.10, JobClass.URGENT, 4, 1, 4 * MINUTE_MILLIS),
          new JobKind(0.15, JobClass.BATCH, 2, 4, 15 * MINUTE_MILLIS),
          new JobKind(0.10, JobClass.BATCH, 4, 8, 25 * MINUTE_MILLIS),
          new JobKind(0.05, JobClass.BATCH, 8, 8, 30 * MINUTE_MILLIS));

  private static final List<JobKind> HONESTY_TILL =
      List.of(
          new JobKind(0.45, JobClass.INTERACTIVE, 1, 1, MINUTE_MILLIS),
          new JobKind(0.10, JobClass.URGENT, 2, 2, 5 * MINUTE_MILLIS),
          new JobKind(0.25, JobClass.BATCH, 3, 2, 20 * MINUTE_MILLIS),
          new JobKind(0.08, JobClass.BATCH, 4, 8, 60 * MINUTE_MILLIS),
          new JobKind(0.12, JobClass.BATCH, 8, 8, 60 * MINUTE_MILLIS));

  private static final List<JobKind> TARGET =
      List.of(
          new JobKind(0.30, JobClass.INTERACTIVE, 1, 2, 10 * MINUTE_MILLIS),
          new JobKind(0.10, JobClass.URGENT, 4, 2, 60 * MINUTE_MILLIS),
          new JobKind(0.35, JobClass.BATCH, 8, 1, 240 * MINUTE_MILLIS),
          new JobKind(0.15, JobClass.BATCH, 32, 1, 300 * MINUTE_MILLIS),
          new JobKind(0.10, JobClass.BATCH, 64, 1, 300 * MINUTE_MILLIS));

  /**
   * Generates a workload for its name.
   *
   * @param name le-goff, honesty-till or target
   * @param seed seed of the random choices
   * @param jobCount number of jobs
   * @return the workload
   * @throws IllegalArgumentException if there is no workload of that name
   */
  public static Workload generate(String name, long seed, int jobCount) {
    SplittableRandom random = new SplittableRandom(seed);
    return switch (name) {
      case "le-goff" -> generate(name, random, jobCount, 30, 4, LE_GOFF);
      case "honesty-till" -> generate(name, random, jobCount, 30, 4, HONESTY_TILL);
      case "target" -> generate(name, random, jobCount, 1_100, 130, TARGET);
      default -> throw new IllegalArgumentException("unknown workload: " + name);
    };
  }

  /**
   * Generates a backlog with the job kinds of the workload {@code target}.
   *
   * @param seed seed of the random choices
   * @param workerCount number of workers
   * @param jobCount number of jobs
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
      List<JobKind> kinds) {
    List<WorkerInfo> workers = workers(workerCount);
    double meanAcceleratorMillis = kinds.stream().mapToDouble(JobKind::acceleratorMillis).sum();
    double meanGapMillis = meanAcceleratorMillis / (TARGET_LOAD * workerCount * ACCELERATORS);
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
      int number, long atMillis, JobKind kind, int organisationCount, SplittableRandom random) {
    long trueRunMillis = 1_000 + (long) exponential(random, (double) kind.meanRunMillis());
    // Declared run times are too high or too low by up to a factor of eight.
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

  private static JobKind pick(SplittableRandom random, List<JobKind> kinds) {
    double draw = random.nextDouble();
    for (JobKind kind : kinds) {
      draw -= kind.share();
      if (draw < 0) {
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
   * Creates organisations whose guarantees add up to at most half of the accelerators. Every fourth
   * one is guaranteed 64 accelerators, a whole rack; each of the others 16.
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
