package org.peridotroute.standin.world;

/**
 * Fault of a worker that goes on replying.
 *
 * @param speed progress of its runs as a share of the usual progress
 * @param failingShare share of its runs that fail
 * @param refuses whether it refuses starts although it reports that it is well
 */
public record WorkerFault(double speed, double failingShare, boolean refuses) {
  /** No fault. */
  public static final WorkerFault NONE = new WorkerFault(1, 0, false);

  /** Returns a fault of the speed only. */
  public static WorkerFault slow(double speed) {
    return new WorkerFault(speed, 0, false);
  }

  /** Returns a fault by which a share of the runs fails. */
  public static WorkerFault failing(double share) {
    return new WorkerFault(1, share, false);
  }

  /** Returns a fault by which all starts are refused. */
  public static WorkerFault refusing() {
    return new WorkerFault(1, 0, true);
  }
}
