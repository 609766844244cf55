package org.peridotroute.bench.fuzz;

/** Kinds of fault that the fuzzer injects. */
public enum FaultKind {
  /** The log rejects all appends and reads for a while. */
  LOG_DOWN,
  /** An append takes effect but its answer is lost. */
  LOG_ANSWER_LOST,
  /** An append takes effect only after it has timed out for its writer, which has repeated it. */
  LOG_APPEND_LATE,
  /** Retention drops the records that a complete snapshot covers. */
  LOG_RETENTION,
  /** A snapshot is written without its last chunk. */
  SNAPSHOT_CUT,
  /** A command to a worker, or its answer, is lost. */
  MESSAGE_LOST,
  /** A command to a worker is delivered twice. */
  MESSAGE_TWICE,
  /** No command reaches any worker for a while. */
  NETWORK_CUT,
  /** A process is paused and resumes later without noticing. */
  VM_PAUSED,
  /** A process is killed and replaced by one without state. */
  VM_KILLED,
  /** A VM is stopped as planned and replaced. */
  VM_STOPPED,
  /** A worker restarts and loses its tasks. */
  WORKER_RESTARTED,
  /** A worker fails every task. */
  WORKER_FAILING,
  /** A worker announces that it is leaving. */
  WORKER_LEAVING
}
