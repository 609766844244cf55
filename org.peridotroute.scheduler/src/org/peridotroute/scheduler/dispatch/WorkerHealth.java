package org.peridotroute.scheduler.dispatch;

import java.util.Collection;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;

/** Limits the new work of workers by what becomes of it. Confined to the control thread. */
interface WorkerHealth {
  /** Handles the end of the current run of a task. */
  void onRunEnded(WorkerState worker, Attempt attempt, RunEnd end);

  /** Handles a start that the worker has refused. */
  void onStartRefused(WorkerState worker);

  /** Handles the description that a worker publishes of itself. */
  default void onListed(WorkerState worker) {}

  /** Handles the first call that a worker leaves without a reply. */
  default void onSilence(WorkerState worker) {}

  /** Handles a reply after a silence. */
  default void onRegained(WorkerState worker) {}

  /** Handles the crash of a worker, before its next incarnation is known. */
  default void onCrashed(WorkerState worker) {}

  /** Returns which workers are limited by their conduct, for the dump. */
  default String describe() {
    return "";
  }

  /** Reviews all workers. Called often. */
  default void review(Collection<WorkerState> workers) {}
}
