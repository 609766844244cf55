package org.peridotroute.standin.world;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.peridotroute.lib.HostPort;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.OrganisationAccess;
import org.peridotroute.scheduler.model.Queue;
import org.peridotroute.scheduler.model.ServiceSpec;
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
  private final IntFunction<Configuration> configurations;

  /**
   * Creates a decoder.
   *
   * @param workers returns the description of a worker
   * @param configurations returns the configuration that a version names
   */
  SimulatedRecords(
      Function<WorkerId, WorkerInfo> workers, IntFunction<Configuration> configurations) {
    this.workers = workers;
    this.configurations = configurations;
  }

  /** Returns the name of the queue of a priority. */
  static String queueName(int priority) {
    return "queue-" + priority;
  }

  /** Returns the first configuration, which sends all queues to one service. */
  static Configuration firstConfiguration() {
    return configuration(
        1,
        IntStream.range(0, QUEUES)
            .boxed()
            .collect(Collectors.toMap(priority -> priority, priority -> SimulatedCluster.SERVICE)),
        List.of());
  }

  /**
   * Returns a configuration.
   *
   * @param servicesByPriority services of the queues, by their priority
   * @param services the services that it lists besides
   */
  static Configuration configuration(
      int version, Map<Integer, String> servicesByPriority, List<String> services) {
    return new Configuration(
        version,
        servicesByPriority.entrySet().stream()
            .map(entry -> queue(entry.getKey(), entry.getValue()))
            .toList(),
        List.of(new OrganisationAccess(ORGANISATION, List.of("key"), 8, List.of())),
        services.stream().map(name -> new ServiceSpec(name, false, false)).toList());
  }

  /** Returns the key of the record that closes a data centre. */
  static String closureKey(String dataCentre) {
    return CLOSURE_PREFIX + dataCentre;
  }

  /** Returns a submission to the queue of a priority, by the configuration of the VM. */
  static Submission submission(
      JobId id, JobRequest request, int priority, Configuration configuration, long wallMillis) {
    Queue queue =
        configuration
            .queueNamed(queueName(priority))
            .orElseThrow(() -> new IllegalArgumentException("no queue of priority " + priority));
    return new Submission(
        id,
        ORGANISATION,
        queue.name(),
        queue.service(),
        queue.terms(List.of()),
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

  private static Queue queue(int priority, String service) {
    String name = queueName(priority);
    return new Queue(
        name, "simulated", "/" + name + "/", service, priority, 4, 3, 1_000, false, List.of());
  }

  @Override
  public Optional<Configuration> decodeConfiguration(byte[] value) {
    return Optional.of(configurations.apply(value[0]));
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
