package org.peridotroute.errors;

/** Thrown if a worker gave no usable reply. The worker may or may not have executed the command. */
public final class WorkerUnreachableException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param worker name of the worker
   * @param reason cause of the failure
   */
  public WorkerUnreachableException(String worker, String reason) {
    super(Messages.WORKER_UNREACHABLE.formatted(worker, reason));
  }
}
