package org.peridotroute.lib;

/**
 * A worker as the platform's list shows it, which lags.
 *
 * @param id the worker
 * @param rack its rack
 * @param place its place
 * @param accelerators how many accelerators it has; 0 to 64
 * @param leaving whether it is about to leave, and so gets no new work
 * @param url where its task interface is
 */
public record WorkerInfo(
    WorkerId id, RackId rack, PlaceId place, int accelerators, boolean leaving, String url) {
  /** Most accelerators of one worker. */
  public static final int MAX_ACCELERATORS = 64;

  /** Checks the ranges. */
  public WorkerInfo {
    Checks.present("worker.id", id);
    Checks.present("worker.rack", rack);
    Checks.present("worker.place", place);
    Checks.range("worker.accelerators", accelerators, 0, MAX_ACCELERATORS);
  }
}
