package org.peridotroute.bench.fuzz;

/** Kinds of fault that the fuzzer puts in. */
public enum FaultKind {
  /** The log takes and gives nothing for a while. */
  LOG_DOWN,
  /** An append takes effect but its answer is lost. */
  LOG_ANSWER_LOST,
  /** An append is taken only after the writer has given up on it and repeated it. */
  LOG_APPEND_LATE,
  /** Records that a whole snapshot covers are no longer kept. */
  LOG_RETENTION,
  /** A snapshot is written only in part. */
  SNAPSHOT_CUT,
  /** A command to a worker, or its answer, is lost. */
  MESSAGE_LOST,
  /** A command to a worker is delivered twice. */
  MESSAGE_TWICE,
  /** No command reaches any worker for a while. */
  NETWORK_CUT,
  /** A process is paused and goes on later without knowing. */
  VM_PAUSED,
  /** A process dies and another with no memory takes its place. */
  VM_KILLED,
  /** A VM is stopped as planned and replaced. */
  VM_STOPPED,
  /** A worker restarts and loses its tasks. */
  WORKER_RESTARTED,
  /** A worker fails every task. */
  WORKER_FAILING,
  /** A worker announces that it leaves. */
  WORKER_LEAVING
}
