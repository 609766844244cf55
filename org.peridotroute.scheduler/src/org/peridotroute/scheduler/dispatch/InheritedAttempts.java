package org.peridotroute.scheduler.dispatch;

import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.StepProgress;
import org.peridotroute.scheduler.table.TaskProgress;

/** Takes over the assigned tasks of steps from earlier terms. Stateless. */
final class InheritedAttempts {
  private InheritedAttempts() {}

  /**
   * Adds an attempt, whose state is uncertain, for each assigned task of a step. Runs that should
   * not go on are stopped: the planner that knew of their stops may have ended before these took
   * effect.
   */
  static void add(Job job, StepProgress step, WorkerManager workerManager, long nowMillis) {
    for (int i = 0; i < step.tasks().size(); i++) {
      TaskProgress task = step.tasks().get(i);
      if (task.state() != TaskProgress.State.ASSIGNED) {
        continue;
      }
      Attempt.Key key = new Attempt.Key(new TaskId(step.id(), i), task.run());
      Attempt attempt =
          new Attempt(key, step.spec().reserved(), Attempt.State.UNCERTAIN, true, nowMillis);
      attempt.setProbationMillis(task.crashHistory().probationMillis());
      attempt.markSettled(0);
      if (!WantedRuns.isWanted(job, key, task.worker())) {
        attempt.requestStop(nowMillis);
      }
      workerManager.getOrCreate(task.worker()).attemptsByKey().put(key, attempt);
    }
  }
}
