package org.peridotroute.control;

import java.util.concurrent.CompletableFuture;
import org.peridotroute.lib.WorkerId;

/** Sends commands to workers. Implementations are thread-safe. */
public interface WorkerGateway {
  /**
   * Sends a command to a worker.
   *
   * @param worker the worker
   * @param command the command
   * @return completes with the worker's reply; fails with {@link
   *     org.peridotroute.errors.WorkerUnreachableException} if none arrives within the gateway's
   *     timeout
   */
  CompletableFuture<TaskReport> send(WorkerId worker, TaskCommand command);
}
