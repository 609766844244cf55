package org.peridotroute.control;

import java.util.concurrent.CompletableFuture;
import org.peridotroute.lib.WorkerId;

/** The way to workers. Implementations are safe for use by several threads. */
public interface WorkerGateway {
  /**
   * Sends a command.
   *
   * @param worker the worker
   * @param command the command
   * @return completes with the worker's answer within the gateway's timeout; fails with {@link
   *     org.peridotroute.errors.WorkerUnreachableException} where there is none
   */
  CompletableFuture<TaskReport> send(WorkerId worker, TaskCommand command);
}
