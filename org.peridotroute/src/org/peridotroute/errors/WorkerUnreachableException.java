package org.peridotroute.errors;

/** A worker gave no usable answer; whether it carried the command out is unknown. */
public final class WorkerUnreachableException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param worker the worker's name
   * @param reason what was seen
   */
  public WorkerUnreachableException(String worker, String reason) {
    super(Messages.WORKER_UNREACHABLE.formatted(worker, reason));
  }
}
