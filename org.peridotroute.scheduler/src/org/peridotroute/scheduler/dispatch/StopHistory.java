package org.peridotroute.scheduler.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.TaskId;

/**
 * Remembers how often each task was stopped by preemption during this term and how much work the
 * stops lost. Nothing is stored: a successor starts without history. Confined to the control
 * thread.
 */
final class StopHistory {
  /**
   * The stops of one task.
   *
   * @param count number of runs that preemption stopped
   * @param lostCoreSeconds work that the stops lost
   */
  record Stops(int count, double lostCoreSeconds) {
    private static final Stops NONE = new Stops(0, 0);
  }

  private final Map<JobId, Map<TaskId, Stops>> byJob = new HashMap<>();

  /** Records that preemption has stopped a run of a task. */
  void add(TaskId task, double lostCoreSeconds) {
    byJob
        .computeIfAbsent(task.job(), key -> new HashMap<>())
        .merge(
            task,
            new Stops(1, lostCoreSeconds),
            (earlier, latest) ->
                new Stops(
                    earlier.count() + latest.count(),
                    earlier.lostCoreSeconds() + latest.lostCoreSeconds()));
  }

  Stops find(TaskId task) {
    return byJob.getOrDefault(task.job(), Map.of()).getOrDefault(task, Stops.NONE);
  }

  /** Forgets the tasks of a job that has ended. */
  void remove(JobId job) {
    byJob.remove(job);
  }
}
