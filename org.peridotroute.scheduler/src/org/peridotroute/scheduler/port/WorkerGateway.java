package org.peridotroute.scheduler.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.peridotroute.scheduler.model.TaskId;

/** Calls to workers. Safe for use by several threads. */
public interface WorkerGateway {
  /** How an order ended. */
  enum CallOutcome {
    /** Carried out, now or before. */
    DONE,
    /** A greater fencing token was seen there. */
    FENCED,
    /** The run is not above one that was stopped or has ended there. */
    SUPERSEDED,
    /** The lease had run out before the order arrived. */
    EXPIRED,
    /** The worker has no room. */
    NO_ROOM,
    /** The approval for the worker is missing or has run out. */
    NOT_APPROVED,
    /** The worker finds the order malformed. */
    INVALID,
    /** The worker refuses for now and has done nothing. */
    UNHEALTHY,
    /** Another life of the worker answered and has done nothing. */
    OTHER_LIFE,
    /** There was no connection; nothing was sent. */
    NOT_SENT,
    /** No answer: the order may be carried out now, later or never. */
    UNKNOWN
  }

  /**
   * Answer to an order.
   *
   * @param outcome how it ended
   * @param clockMillis the worker's clock, -1 where not told
   */
  record CallReply(CallOutcome outcome, long clockMillis) {}

  /**
   * Whom an order is for.
   *
   * @param id id of the worker's life
   * @param address host and port
   */
  record Target(String id, String address) {}

  /**
   * Order to start a task.
   *
   * @param task the task
   * @param run number of the run
   * @param payload the job's payload
   * @param leaseEndMillis end of the lease on the worker's clock
   * @param token fencing token
   * @param checkpoint saved progress to resume from, empty for none
   * @param approval ticket for the worker, null where none is needed
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
   * A look at a worker that also extends its lease.
   *
   * @param token fencing token
   * @param leaseEndMillis end of the lease on the worker's clock, -1 to leave it
   * @param acknowledgedEnd number of the last end that is stored
   * @param waitMillis how long the worker may wait for an end
   */
  record PollRequest(long token, long leaseEndMillis, long acknowledgedEnd, long waitMillis) {}

  /**
   * A task that runs.
   *
   * @param task the task
   * @param run its run
   * @param checkpoint its last saved progress, empty for none
   * @param percent how far it is
   * @param load tail latency in milliseconds of a service, thousandths of a core in use of others
   */
  record RunningTask(TaskId task, int run, String checkpoint, int percent, long load) {}

  /** How a run ended. */
  enum RunEnd {
    /** The task has done its work. */
    DONE,
    /** The task failed, by its own fault or the worker's. */
    FAILED,
    /** Stopped by an order. */
    STOPPED,
    /** Its lease ran out. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The others of its gang did not come. */
    ALONE
  }

  /**
   * A run that has ended.
   *
   * @param number number of the end in the worker's life, from 1
   * @param task the task
   * @param run its run
   * @param end how it ended
   * @param checkpoint its last saved progress, empty for none
   */
  record EndedTask(long number, TaskId task, int run, RunEnd end, String checkpoint) {}

  /**
   * What a look shows.
   *
   * @param outcome how the call ended; the lists count with {@link CallOutcome#DONE} alone
   * @param clockMillis the worker's clock
   * @param bornMillis start of the worker's life on its wall clock
   * @param running what runs
   * @param ended what has ended and is not acknowledged
   */
  record PollReply(
      CallOutcome outcome,
      long clockMillis,
      long bornMillis,
      List<RunningTask> running,
      List<EndedTask> ended) {
    /** Copies the lists. */
    public PollReply {
      running = List.copyOf(running);
      ended = List.copyOf(ended);
    }
  }

  /**
   * Orders a start.
   *
   * @param target the worker
   * @param order the order
   * @return completes with the answer
   */
  CompletableFuture<CallReply> start(Target target, StartRequest order);

  /**
   * Orders a stop. Once answered, no run up to this one will begin there.
   *
   * @param target the worker
   * @param task the task
   * @param run the run
   * @param token fencing token
   * @return completes with the answer
   */
  CompletableFuture<CallReply> stop(Target target, TaskId task, int run, long token);

  /**
   * Looks at what runs and what has ended.
   *
   * @param target the worker
   * @param order what to say with it
   * @return completes with the answer
   */
  CompletableFuture<PollReply> poll(Target target, PollRequest order);
}
