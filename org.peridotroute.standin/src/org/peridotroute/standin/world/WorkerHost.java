package org.peridotroute.standin.world;

import org.peridotroute.scheduler.model.WorkerInfo;

/** A worker of the simulation: its current incarnation and how the network reaches it. */
final class WorkerHost {
  WorkerInfo info;
  WorkerModel incarnation;
  boolean disconnected;

  /** The only VM that reaches it, null if all do. */
  String reachableFrom;

  /** Fault that outlives its incarnation. */
  WorkerFault fault = WorkerFault.NONE;

  /** Whether another worker has taken over the address; it rejects calls meant for this one. */
  boolean replaced;

  /** Whether its process has exited, so that connections are refused. */
  boolean gone;

  /** Whether connections to it are refused although it works on. */
  boolean refusing;

  boolean refusesConnections() {
    return refusing || (gone && !disconnected);
  }

  boolean isReachableFrom(String vm) {
    return reachableFrom == null || reachableFrom.equals(vm);
  }

  WorkerHost(WorkerInfo info) {
    this.info = info;
  }
}
