package org.peridotroute.scheduler.model;

import java.util.List;
import org.peridotroute.lib.Checks;
import org.peridotroute.lib.HostPort;
import org.peridotroute.lib.WorkerId;

/**
 * Description that a worker publishes of itself.
 *
 * @param id id of the worker
 * @param service service that the worker belongs to
 * @param address host and port that the worker listens on
 * @param dataCentre data centre of the worker
 * @param rack rack of the worker
 * @param labels labels of the worker, including the rack
 * @param capacity total capacity of the worker
 * @param draining whether the worker is leaving
 * @param remainingMillis minimum time until a draining worker leaves, in milliseconds
 * @param startedAtMillis start of this incarnation on the worker's wall clock; 0 if not given
 * @param coldMillis how much longer the worker stays slow after its start, in milliseconds
 */
public record WorkerInfo(
    WorkerId id,
    String service,
    HostPort address,
    String dataCentre,
    String rack,
    List<String> labels,
    Capacity capacity,
    boolean draining,
    long remainingMillis,
    long startedAtMillis,
    long coldMillis) {
  private static final long MAX_SPAN_MILLIS = 24 * 60 * 60 * 1_000L;
  private static final int MAX_LABELS = 64;
  private static final int MAX_NAME_BYTES = 255;

  /**
   * Validates the description, which a program outside of this project has written, and makes an
   * immutable copy of the labels.
   */
  public WorkerInfo {
    Checks.printable("worker.service", service, MAX_NAME_BYTES);
    Checks.printable("worker.dataCentre", dataCentre, MAX_NAME_BYTES);
    Checks.range("worker.labels.length", labels.size(), 0, MAX_LABELS);
    labels.forEach(label -> Checks.printable("worker.label", label, MAX_NAME_BYTES));
    capacity.checkRange("worker.capacity");
    Checks.range("worker.remainingMillis", remainingMillis, 0, MAX_SPAN_MILLIS);
    Checks.range("worker.coldMillis", coldMillis, 0, MAX_SPAN_MILLIS);
    Checks.range("worker.startedAtMillis", startedAtMillis, 0, Long.MAX_VALUE);
    labels = List.copyOf(labels);
  }

  /**
   * Returns a copy with another capacity.
   *
   * @param other the capacity
   * @return the copy
   */
  public WorkerInfo withCapacity(Capacity other) {
    return new WorkerInfo(
        id,
        service,
        address,
        dataCentre,
        rack,
        labels,
        other,
        draining,
        remainingMillis,
        startedAtMillis,
        coldMillis);
  }

  /**
   * Returns a copy that announces that the worker leaves.
   *
   * @param millis minimum time until it leaves, in milliseconds
   * @return the copy
   */
  public WorkerInfo asDraining(long millis) {
    return new WorkerInfo(
        id,
        service,
        address,
        dataCentre,
        rack,
        labels,
        capacity,
        true,
        millis,
        startedAtMillis,
        coldMillis);
  }
}
