package org.peridotroute.scheduler.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.table.Job;

/**
 * Limits preemption to what the planner knows and can follow up. At the start of a term the workers
 * have not reported what they run, so their free capacity is unknown. Capacity that is freed faster
 * than starts can be sent stands idle.
 */
final class StopLimiter {
  /** Time after which workers that have not replied no longer delay preemption. */
  private static final long UNPOLLED_MILLIS = 1_000;

  private static final long MILLIS_PER_SECOND = 1_000;

  private final long termStartMillis;
  private final long startBytesPerStop;

  /**
   * Creates the limiter of a term.
   *
   * @param termStartMillis steady time at which the term began
   */
  StopLimiter(DispatchSettings settings, long termStartMillis) {
    this.termStartMillis = termStartMillis;
    startBytesPerStop = settings.linkBytesPerSecond() * settings.stopMillis() / MILLIS_PER_SECOND;
  }

  PlanView.StopLimits limits(
      Collection<WorkerState> workerStates,
      List<PlanView.PendingStep> pendingSteps,
      Map<JobId, Job> jobsById,
      long nowMillis) {
    boolean known =
        nowMillis - termStartMillis >= UNPOLLED_MILLIS
            || workerStates.stream().allMatch(StopLimiter::isPolled);
    long maxStartBytes = StartQueue.OVERHEAD_BYTES;
    for (PlanView.PendingStep pending : pendingSteps) {
      if (pending.priority() == 0) {
        String payload = jobsById.get(pending.step().job()).submission().request().payload();
        maxStartBytes = Math.max(maxStartBytes, StartQueue.OVERHEAD_BYTES + payload.length());
      }
    }
    return new PlanView.StopLimits(known, startBytesPerStop / maxStartBytes);
  }

  private static boolean isPolled(WorkerState worker) {
    return !worker.isListed() || worker.hasSeenToken() || worker.unansweredCalls() > 0;
  }
}
