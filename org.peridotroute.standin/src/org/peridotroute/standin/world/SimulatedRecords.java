package org.peridotroute.standin.world;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.peridotroute.lib.HostPort;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.OrganisationAccess;
import org.peridotroute.scheduler.model.Queue;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.node.SchedulerVm;

/**
 * The records of a simulated cluster. Its decoder returns the objects that the simulation holds in
 * memory; the records only name them.
 */
final class SimulatedRecords implements SchedulerVm.Decoder {
  private static final String CLOSURE_PREFIX = "closed/";

  /** Key of a worker's record with which the decoder fails. */
  static final String UNEXPECTED = "unexpected";

  private static final String ORGANISATION = "org";
  private static final int QUEUES = 3;

  private final Function<WorkerId, WorkerInfo> workers;

  /**
   * Creates a decoder.
   *
   * @param workers returns the description of a worker
   */
  SimulatedRecords(Function<WorkerId, WorkerInfo> workers) {
    this.workers = workers;
  }

  /** Returns the key of the record that closes a data centre. */
  static String closureKey(String dataCentre) {
    return CLOSURE_PREFIX + dataCentre;
  }

  /** Returns a submission to the queue of a priority. */
  static Submission submission(JobId id, JobRequest request, int priority, long wallMillis) {
    return new Submission(
        id,
        ORGANISATION,
        queue(priority).name(),
        SimulatedCluster.SERVICE,
        queue(priority).terms(List.of()),
        wallMillis,
        request);
  }

  /** Returns the description of a worker that has just started. */
  static WorkerInfo worker(
      WorkerId id, String service, HostPort address, String dataCentre, String rack) {
    return new WorkerInfo(
        id,
        service,
        address,
        dataCentre,
        rack,
        List.of("a", rack),
        SimulatedCluster.WORKER_CAPACITY,
        false,
        0,
        0,
        0);
  }

  private static Queue queue(int priority) {
    String name = "queue-" + priority;
    return new Queue(
        name,
        "simulated",
        "/" + name + "/",
        SimulatedCluster.SERVICE,
        priority,
        4,
        3,
        1_000,
        false,
        List.of());
  }

  @Override
  public Optional<Configuration> decodeConfiguration(byte[] value) {
    return Optional.of(
        new Configuration(
            1,
            IntStream.range(0, QUEUES).mapToObj(SimulatedRecords::queue).toList(),
            List.of(new OrganisationAccess(ORGANISATION, List.of("key"), 8, List.of())),
            List.of()));
  }

  @Override
  public Optional<String> closedDataCentre(String key) {
    return key.startsWith(CLOSURE_PREFIX)
        ? Optional.of(key.substring(CLOSURE_PREFIX.length()))
        : Optional.empty();
  }

  @Override
  public Optional<WorkerInfo> decodeWorker(String id, byte[] value) {
    if (id.equals(UNEXPECTED)) {
      throw new IllegalStateException("no decoder expects this record");
    }
    return Optional.of(workers.apply(new WorkerId(id)));
  }
}
