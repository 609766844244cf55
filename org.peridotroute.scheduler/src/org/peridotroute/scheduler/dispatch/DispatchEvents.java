package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.place.Closures;
import org.peridotroute.scheduler.plan.DepartureMoves;
import org.peridotroute.scheduler.plan.PlacementDecision;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.StepProgress;
import org.peridotroute.scheduler.table.TaskProgress;

/** Log events of the planner's decisions, with the inputs that decided them. */
final class DispatchEvents {
  private final Events events;
  private final Time time;
  private final Term term;
  private final DurationEstimator durationEstimator;

  DispatchEvents(Events events, Time time, Term term, DurationEstimator durationEstimator) {
    this.events = events;
    this.time = time;
    this.term = term;
    this.durationEstimator = durationEstimator;
  }

  void onPlaced(PlacementDecision.Start start, Job job, StepProgress step, int run) {
    events.info(
        "step-placed",
        "job",
        job.submission().id(),
        "step",
        step.id(),
        "run",
        run,
        "priority",
        job.submission().terms().priority(),
        "accelerators",
        step.spec().reserved().accelerators(),
        "gang",
        step.spec().gang(),
        "saves",
        step.spec().checkpoints(),
        "declaredMillis",
        step.spec().estimateMillis(),
        "expectedMillis",
        durationEstimator.taskMillis(job.submission(), step.spec()),
        "image",
        String.valueOf(step.spec().image()),
        "tasks",
        start.workers().size(),
        "workers",
        start.workers().values(),
        "waitedMillis",
        time.wallMillis() - job.submission().acceptedAtMillis(),
        "epoch",
        term.epoch());
  }

  void onPreempted(PlacementDecision.Preempt decision, StepProgress step) {
    events.info(
        "run-preempted",
        "job",
        decision.task().job(),
        "task",
        decision.task(),
        "run",
        decision.run(),
        "saves",
        step.spec().checkpoints(),
        "for",
        decision.beneficiary());
  }

  /** Reports that a run is stopped because its worker leaves. */
  void onMoved(TaskId task, int run, DepartureMoves.Leaving leaving) {
    events.info(
        "run-moved",
        "job",
        task.job(),
        "task",
        task,
        "run",
        run,
        "leaveMillis",
        leaving.leaveMillis(),
        "expectedMillis",
        leaving.remainingMillis());
  }

  void onRunEnded(
      WorkerState workerState, Attempt attempt, RunEnd end, String evidence, boolean counted) {
    List<Object> fields =
        new ArrayList<>(
            List.of(
                "job",
                attempt.key().task().job(),
                "task",
                attempt.key().task(),
                "run",
                attempt.key().run(),
                "worker",
                workerState.id(),
                "end",
                end,
                "evidence",
                evidence,
                "tookMillis",
                time.steadyMillis() - attempt.stateSinceMillis(),
                "counted",
                counted));
    CrashEvidence crash = attempt.crash();
    if (crash != null) {
      fields.addAll(
          List.of(
              "startConfirmed",
              attempt.state() == Attempt.State.RUNNING,
              "silentAfterMillis",
              crash.ageMillis(),
              "otherJobs",
              crash.otherJobs(),
              "othersSilent",
              crash.othersSilent()));
    }
    events.info("run-ended", fields.toArray());
  }

  /**
   * Reports a run that ended without result.
   *
   * @param lostCoreSeconds work that the end of the run lost
   * @param totalCoreSeconds work lost by this cause during the term
   * @param stops how often preemption has stopped the task during the term
   */
  void onWorkLost(
      Job job,
      StepProgress step,
      Attempt attempt,
      LostWork.Cause cause,
      double lostCoreSeconds,
      double totalCoreSeconds,
      int stops) {
    events.info(
        "work-lost",
        "job",
        job.submission().id(),
        "task",
        attempt.key().task(),
        "run",
        attempt.key().run(),
        "outcome",
        cause,
        "priority",
        job.submission().terms().priority(),
        "saves",
        step.spec().checkpoints(),
        "coreSeconds",
        Math.round(lostCoreSeconds),
        "totalCoreSeconds",
        Math.round(totalCoreSeconds),
        "stops",
        stops,
        "for",
        attempt.beneficiary() == null ? "" : attempt.beneficiary());
  }

  /**
   * Reports the end of a job.
   *
   * @param lastTask the task whose end has ended the job
   */
  void onJobEnded(Job job, TaskId lastTask) {
    // The steps of a completed job are no longer open.
    TaskProgress last =
        job.step(lastTask).map(step -> step.tasks().get(lastTask.index())).orElse(null);
    events.info(
        "job-ended",
        "job",
        job.submission().id(),
        "phase",
        job.phase(),
        "lastTask",
        lastTask,
        "failures",
        last == null ? 0 : last.failures(),
        "crashes",
        last == null ? 0 : last.crashHistory().crashes());
  }

  /** Logs that starts are withheld because the known closures are too old, or sent again. */
  void onStartsWithheld(boolean withheld, Closures closures) {
    events.warn(
        withheld ? "starts-withheld" : "starts-resumed",
        "epoch",
        term.epoch(),
        "reason",
        "age of the known closures",
        "closed",
        closures.dataCentres());
  }
}
