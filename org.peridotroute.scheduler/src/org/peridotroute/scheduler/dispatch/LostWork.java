package org.peridotroute.scheduler.dispatch;

import java.util.EnumMap;
import java.util.Map;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.StepProgress;

/**
 * Ledger of the runs that ended without result: why, how much work was lost and which step got the
 * capacity. Counts the stops by preemption in the stop history. Confined to the control thread.
 */
final class LostWork {
  /** Why a run ended without result. */
  enum Cause {
    /** It was stopped for a more urgent step. */
    PREEMPTED,
    /** It was stopped because its worker leaves. */
    MOVED,
    /** Its job has ended, through a cancel or the failure of another task. */
    JOB_ENDED,
    /** Another member of its gang ended. */
    GANG_ENDED,
    /** It was stopped for another reason, such as a start without an answer. */
    STOPPED,
    /** It failed. */
    FAILED,
    /** Its lease expired, or its worker left. */
    LAPSED,
    /** Its worker crashed. */
    CRASHED
  }

  private final StopHistory stopHistory;
  private final DispatchEvents dispatchEvents;
  private final Time time;
  private final Map<Cause, Double> coreSecondsByCause = new EnumMap<>(Cause.class);

  LostWork(StopHistory stopHistory, DispatchEvents dispatchEvents, Time time) {
    this.stopHistory = stopHistory;
    this.dispatchEvents = dispatchEvents;
    this.time = time;
  }

  /**
   * Records the end of the current run of a task.
   *
   * @param job the job after the end was recorded in it
   * @param checkpoint checkpoint reported with the end, empty for none
   */
  void onRunEnded(Job job, StepProgress step, Attempt attempt, RunEnd end, String checkpoint) {
    if (end != RunEnd.DONE) {
      Cause cause = cause(job, attempt, end);
      double lost = attempt.lostCoreSeconds(checkpoint, time.steadyMillis());
      double total = coreSecondsByCause.merge(cause, lost, Double::sum);
      if (cause == Cause.PREEMPTED && !job.phase().isEnded()) {
        stopHistory.add(attempt.key().task(), lost);
      }
      int stops = stopHistory.find(attempt.key().task()).count();
      dispatchEvents.onWorkLost(job, step, attempt, cause, lost, total, stops);
    }
    if (job.phase().isEnded()) {
      stopHistory.remove(job.submission().id());
    }
  }

  private static Cause cause(Job job, Attempt attempt, RunEnd end) {
    return switch (end) {
      case FAILED -> Cause.FAILED;
      case LAPSED -> Cause.LAPSED;
      case CRASHED -> Cause.CRASHED;
      default -> {
        if (attempt.beneficiary() != null) {
          yield Cause.PREEMPTED;
        } else if (attempt.isMoved()) {
          yield Cause.MOVED;
        } else if (job.phase().isEnded()) {
          yield Cause.JOB_ENDED;
        }
        yield end == RunEnd.STOPPED ? Cause.STOPPED : Cause.GANG_ENDED;
      }
    };
  }
}
