package org.peridotroute.scheduler.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.PolicySettings;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.plan.PlanView.Usefulness;
import org.peridotroute.scheduler.table.Job;

/**
 * Pattern: a wide step is 4 s into runs of 6 s and must complete within 10 s. Guards against
 * victims whose loss is not seen, or is charged again in each pass of a burst.
 */
final class RunningTaskViewsTest {
  private static final long ACCEPTED = 100_000;
  private static final long STARTED = ACCEPTED + 1_000;
  private static final long NOW = ACCEPTED + 5_000;
  private static final long RESTORE_MILLIS = 600;
  private static final StepId STEP = new StepId(new JobId("%016x".formatted(1)), 0, 0);

  private final DurationEstimator estimator = new DurationEstimator();
  private final StopHistory history = new StopHistory();
  private final WorkerState worker = new WorkerState(new WorkerId("w-1"), 0);
  private Job job;

  private void startJob(boolean saves) {
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(2)
            .setNeed(new Capacity(1_000, 1_000, 1))
            .setCheckpoints(saves)
            .setEstimateMillis(6_000)
            .build();
    job =
        new Job(
            new Submission(
                STEP.job(),
                "org",
                "queue",
                "s",
                new Submission.Terms(2, 3, 1.5, 1_000),
                ACCEPTED,
                new JobRequest("payload", List.of(step), Schedule.ONCE)));
    job.openDueOccurrences(ACCEPTED);
    estimator.onSubmitted(job.submission());
    for (int i = 0; i < 2; i++) {
      Attempt.Key key = new Attempt.Key(new TaskId(STEP, i), 1);
      job.assign(key.task(), 1, worker.id());
      worker
          .attemptsByKey()
          .put(key, new Attempt(key, step.need(), Attempt.State.RUNNING, true, STARTED));
    }
  }

  private List<PlanView.RunningTask> views(Feature... features) {
    PolicySettings policy = new PolicySettings(Set.of(features), 0, 1, RESTORE_MILLIS, Map.of());
    return new RunningTaskViews(
            estimator, new SpeedEstimates(false, estimator), policy, history, 1_200)
        .build(List.of(worker), Map.of(STEP.job(), job), Set.of(), NOW, NOW);
  }

  @Test
  void stopThatCostsTheJobItsObjectiveIsSeen() {
    startJob(false);
    PlanView.RunningTask run = views(Feature.STOP_HISTORY).get(0);
    assertThat(run.usefulness()).isEqualTo(Usefulness.ON_TIME);
    assertThat(run.usefulnessIfStopped()).isEqualTo(Usefulness.LATE);
    assertThat(run.unsavedMillis()).isEqualTo(NOW - STARTED);
  }

  @Test
  void stopOfASavingRunCostsItsRestoreAlone() {
    startJob(true);
    PlanView.RunningTask run = views(Feature.STOP_HISTORY).get(0);
    assertThat(run.usefulnessIfStopped()).isEqualTo(Usefulness.ON_TIME);
    assertThat(run.unsavedMillis()).isEqualTo(RESTORE_MILLIS);
  }

  // Otherwise each pass takes a job that is not late yet, instead of one that the last made late.
  @Test
  void jobOfWhichATaskIsBeingStoppedIsLateAlready() {
    startJob(false);
    worker.attempts().iterator().next().requestStop(NOW);
    List<PlanView.RunningTask> others = views(Feature.STOP_HISTORY);
    assertThat(others).hasSize(1);
    assertThat(others.get(0).usefulness()).isEqualTo(Usefulness.LATE);
  }

  @Test
  void stopsOfTheTaskAreCounted() {
    startJob(false);
    history.add(new TaskId(STEP, 0), 50);
    history.add(new TaskId(STEP, 0), 30);
    assertThat(views(Feature.STOP_HISTORY).stream().map(PlanView.RunningTask::stops))
        .containsExactly(2, 0)
        .inOrder();
    assertThat(history.find(new TaskId(STEP, 0)).lostCoreSeconds()).isEqualTo(80.0);
    history.remove(STEP.job());
    assertThat(history.find(new TaskId(STEP, 0)).count()).isEqualTo(0);
  }

  @Test
  void nothingChangesWithoutTheFeature() {
    startJob(true);
    history.add(new TaskId(STEP, 0), 50);
    PlanView.RunningTask run = views().get(0);
    assertThat(run.stops()).isEqualTo(0);
    assertThat(run.unsavedMillis()).isEqualTo(0);
    assertThat(run.usefulness()).isEqualTo(run.usefulnessIfStopped());
  }
}
