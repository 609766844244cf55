package org.peridotroute.scheduler.model;

import java.util.List;
import org.peridotroute.lib.WorkerId;

/**
 * A worker as it describes itself.
 *
 * @param id its id
 * @param service service that it belongs to
 * @param address host and port that it listens on
 * @param dataCentre its data centre
 * @param rack its rack
 * @param labels its labels, the rack among them
 * @param capacity its room
 * @param draining whether it is about to leave
 * @param remainingMillis least time left while it drains
 * @param startedMillis start of this life, wall clock of the worker; 0 where not told
 */
public record WorkerInfo(
    WorkerId id,
    String service,
    String address,
    String dataCentre,
    String rack,
    List<String> labels,
    Capacity capacity,
    boolean draining,
    long remainingMillis,
    long startedMillis) {
  /** Copies the labels. */
  public WorkerInfo {
    labels = List.copyOf(labels);
  }
}
