package org.peridotroute.lib;

/**
 * Entry of a worker in the platform's directory, which lags behind the actual state.
 *
 * @param id name of the worker
 * @param rack rack of the worker
 * @param place place of the worker
 * @param accelerators number of accelerators; 0 to {@value #MAX_ACCELERATORS}
 * @param leaving whether the worker is about to leave and therefore gets no new work
 * @param url base URL of its task API
 */
public record WorkerInfo(
    WorkerId id, RackId rack, PlaceId place, int accelerators, boolean leaving, String url) {
  /** Maximum number of accelerators per worker. */
  public static final int MAX_ACCELERATORS = 64;

  /** Validates presence and ranges. */
  public WorkerInfo {
    Checks.present("worker.id", id);
    Checks.present("worker.rack", rack);
    Checks.present("worker.place", place);
    Checks.range("worker.accelerators", accelerators, 0, MAX_ACCELERATORS);
  }
}
