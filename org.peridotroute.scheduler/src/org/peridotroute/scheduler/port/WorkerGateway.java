package org.peridotroute.scheduler.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.peridotroute.scheduler.model.TaskId;

/** Calls to workers. Thread-safe. */
public interface WorkerGateway {
  /** How a call ended. */
  enum CallOutcome {
    /** The worker has carried out the call, now or in an earlier attempt. */
    DONE,
    /** The worker has seen a greater fencing token. */
    FENCED,
    /**
     * The run number is not greater than that of a run of the task that was stopped or has ended on
     * the worker.
     */
    SUPERSEDED,
    /** The lease had expired before the call arrived. */
    EXPIRED,
    /** The worker has too little free capacity. */
    NO_ROOM,
    /** The approval for the worker is missing or has expired. */
    NOT_APPROVED,
    /** The worker rejected the call as malformed. */
    INVALID,
    /** The worker refuses calls at the moment and has done nothing. */
    UNHEALTHY,
    /** Another incarnation of the worker replied and has done nothing. */
    OTHER_LIFE,
    /** No connection could be made; nothing was sent. */
    NOT_SENT,
    /** No reply: the call may take effect now, later or never. */
    UNKNOWN
  }

  /**
   * Reply to a start or stop.
   *
   * @param outcome how the call ended
   * @param clockMillis the worker's clock, -1 if the reply does not contain it
   */
  record CallReply(CallOutcome outcome, long clockMillis) {}

  /**
   * Recipient of a call.
   *
   * @param id id of the worker's incarnation
   * @param address host and port
   */
  record Target(String id, String address) {}

  /**
   * Request to start a task.
   *
   * @param task the task
   * @param run number of the run
   * @param payload the payload of the job
   * @param leaseEndMillis end of the lease on the worker's clock
   * @param token fencing token
   * @param checkpoint saved progress to resume from, empty for none
   * @param approval approval ticket for the worker, null if none is needed
   */
  record StartRequest(
      TaskId task,
      int run,
      String payload,
      long leaseEndMillis,
      long token,
      String checkpoint,
      String approval) {}

  /**
   * Request for the running and ended tasks of a worker, which may also extend its lease.
   *
   * @param token fencing token
   * @param leaseEndMillis end of the lease on the worker's clock, -1 to leave the lease unchanged
   * @param acknowledgedEnd number of the last end that is stored on the log
   * @param waitMillis how long the worker may hold the request until a run ends
   */
  record PollRequest(long token, long leaseEndMillis, long acknowledgedEnd, long waitMillis) {}

  /**
   * A running task.
   *
   * @param task the task
   * @param run number of its run
   * @param checkpoint last saved progress, empty for none
   * @param percent progress in percent
   * @param load tail latency in milliseconds for a service; thousandths of a core in use for other
   *     tasks
   */
  record RunningTask(TaskId task, int run, String checkpoint, int percent, long load) {}

  /** How a run ended. */
  enum RunEnd {
    /** The task completed its work. */
    DONE,
    /** The task failed, through a fault of its own or of the worker. */
    FAILED,
    /** The run was stopped by a call. */
    STOPPED,
    /** The lease expired. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** The other members of the gang did not arrive. */
    ALONE,
    /** The worker crashed. Concluded by the planner; no worker reports it. */
    CRASHED
  }

  /**
   * A run that has ended.
   *
   * @param number number of the end within the worker's incarnation, from 1
   * @param task the task
   * @param run number of its run
   * @param end how it ended
   * @param checkpoint last saved progress, empty for none
   */
  record EndedTask(long number, TaskId task, int run, RunEnd end, String checkpoint) {}

  /**
   * Reply to a poll.
   *
   * @param outcome how the call ended; the lists are valid only with {@link CallOutcome#DONE}
   * @param clockMillis the worker's clock
   * @param startedAtMillis start of the worker's incarnation on its wall clock
   * @param running the running tasks
   * @param ended the ended runs that are not acknowledged, by number
   * @param complete whether the lists name every run that goes on or whose end is not acknowledged;
   *     only then is a run that they do not name over
   */
  record PollReply(
      CallOutcome outcome,
      long clockMillis,
      long startedAtMillis,
      List<RunningTask> running,
      List<EndedTask> ended,
      boolean complete) {
    /** Copies the lists. */
    public PollReply {
      running = List.copyOf(running);
      ended = List.copyOf(ended);
    }

    /**
     * Returns the reply that represents a poll without lists.
     *
     * @param outcome how the call ended
     * @param clockMillis the worker's clock, -1 if it is not known
     */
    public static PollReply failed(CallOutcome outcome, long clockMillis) {
      return new PollReply(outcome, clockMillis, 0, List.of(), List.of(), false);
    }
  }

  /**
   * Starts a task.
   *
   * @param target the worker
   * @param request what to start
   * @return completes with the reply
   */
  CompletableFuture<CallReply> start(Target target, StartRequest request);

  /**
   * Stops a run. Once the worker has confirmed, no run of the task up to this number will start
   * there.
   *
   * @param target the worker
   * @param task the task
   * @param run number of the run
   * @param token fencing token
   * @return completes with the reply
   */
  CompletableFuture<CallReply> stop(Target target, TaskId task, int run, long token);

  /**
   * Polls the running and ended tasks.
   *
   * @param target the worker
   * @param request lease extension, acknowledgement and wait
   * @return completes with the reply
   */
  CompletableFuture<PollReply> poll(Target target, PollRequest request);
}
