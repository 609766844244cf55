package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.Occurrence;
import org.peridotroute.scheduler.table.StepProgress;
import org.peridotroute.scheduler.table.TaskProgress;

/** Makes the immutable view that decisions are taken on. Keeps the urgent demand seen. */
final class PlanViews {
  /** Multiple of its objective after which a job is of no more use; from the users' terms. */
  private static final long EXPIRY_FACTOR = 3;

  private final Estimates estimates;
  private final RackSpeeds speeds;
  private final UrgentDemand urgent = new UrgentDemand();

  PlanViews(Estimates estimates, RackSpeeds speeds) {
    this.estimates = estimates;
    this.speeds = speeds;
  }

  PlanView view(
      Collection<Job> jobs,
      Map<JobId, Job> byId,
      Collection<WorkerTrack> tracks,
      Configuration configuration,
      long nowMillis,
      long wallMillis) {
    Set<JobId> guaranteed = guaranteed(jobs, configuration);
    List<PlanView.Waiting> waiting = new ArrayList<>();
    for (Job job : jobs) {
      if (!job.phase().isEnded()) {
        addWaiting(waiting, job, guaranteed, nowMillis - wallMillis);
      }
    }
    List<PlanView.WorkerView> workers = new ArrayList<>();
    List<PlanView.Running> running = new ArrayList<>();
    for (WorkerTrack track : tracks) {
      if (track.info() != null && track.isUsable(nowMillis)) {
        workers.add(worker(track, byId));
      }
      addRunning(running, track, byId, nowMillis);
    }
    long toCome = urgent.toCome(urgentInUse(tracks, byId) + urgentWaiting(waiting), nowMillis);
    return new PlanView(nowMillis, workers, waiting, running, toCome);
  }

  /** Returns the urgent jobs that their organisations' guarantees cover, the oldest first. */
  private static Set<JobId> guaranteed(Collection<Job> jobs, Configuration configuration) {
    List<Job> urgent = new ArrayList<>();
    for (Job job : jobs) {
      if (!job.phase().isEnded() && job.submission().terms().priority() == 0) {
        urgent.add(job);
      }
    }
    urgent.sort(Comparator.comparingLong(job -> job.submission().acceptedAtMillis()));
    Map<String, Long> used = new HashMap<>();
    Set<JobId> covered = new HashSet<>();
    for (Job job : urgent) {
      Submission submission = job.submission();
      long need = 0;
      for (StepSpec step : submission.request().steps()) {
        need = Math.max(need, step.count() * step.need().accelerators());
      }
      long total = used.merge(submission.organisation(), need, Long::sum);
      if (total <= configuration.guaranteedAccelerators(submission.organisation())) {
        covered.add(submission.id());
      }
    }
    return covered;
  }

  private void addWaiting(
      List<PlanView.Waiting> waiting, Job job, Set<JobId> guaranteed, long steadyMinusWall) {
    Submission submission = job.submission();
    for (Occurrence occurrence : job.openOccurrences()) {
      long due = submission.request().schedule().dueMillis(occurrence.number());
      long since = (due > 0 ? due : submission.acceptedAtMillis()) + steadyMinusWall;
      long objective = estimates.objectiveMillis(submission);
      for (StepProgress step : occurrence.steps()) {
        List<Integer> tasks = waitingTasks(step);
        boolean whole = !step.spec().gang() || tasks.size() == step.tasks().size();
        if (tasks.isEmpty() || !whole || !occurrence.isReady(step)) {
          continue;
        }
        Set<WorkerId> avoid = new HashSet<>();
        step.tasks().forEach(task -> avoid.addAll(task.failedOn()));
        waiting.add(
            new PlanView.Waiting(
                step.id(),
                step.spec(),
                submission.service(),
                tasks,
                submission.terms().priority(),
                guaranteed.contains(submission.id()),
                since,
                since + objective,
                since + EXPIRY_FACTOR * objective,
                estimates.taskMillis(submission, step.spec()),
                estimates.chainMillis(submission, step.id().step()),
                avoid));
      }
    }
  }

  private static List<Integer> waitingTasks(StepProgress step) {
    List<Integer> tasks = new ArrayList<>();
    for (int i = 0; i < step.tasks().size(); i++) {
      if (step.tasks().get(i).state() == TaskProgress.State.WAITING) {
        tasks.add(i);
      }
    }
    return tasks;
  }

  private static int priority(Attempt attempt, Map<JobId, Job> jobs) {
    Job job = jobs.get(attempt.key().task().job());
    return job == null ? Integer.MAX_VALUE : job.submission().terms().priority();
  }

  private static long urgentInUse(Collection<WorkerTrack> tracks, Map<JobId, Job> jobs) {
    long used = 0;
    for (WorkerTrack track : tracks) {
      for (Attempt attempt : track.all()) {
        used += priority(attempt, jobs) == 0 ? attempt.held().accelerators() : 0;
      }
    }
    return used;
  }

  private static long urgentWaiting(List<PlanView.Waiting> waiting) {
    return waiting.stream()
        .filter(one -> one.priority() == 0)
        .mapToLong(one -> one.tasks().size() * one.spec().reserved().accelerators())
        .sum();
  }

  private static long yielding(WorkerTrack track, Map<JobId, Job> jobs) {
    long yielding = 0;
    for (Attempt attempt : track.all()) {
      Job job = jobs.get(attempt.key().task().job());
      boolean yields =
          job != null
              && !attempt.isStopWanted()
              && job.submission().terms().priority() > 0
              && job.submission()
                  .request()
                  .steps()
                  .get(attempt.key().task().step().step())
                  .checkpoints();
      yielding += yields ? attempt.held().accelerators() : 0;
    }
    return yielding;
  }

  private PlanView.WorkerView worker(WorkerTrack track, Map<JobId, Job> jobs) {
    return new PlanView.WorkerView(
        track.id(),
        track.info().service(),
        track.info().rack(),
        Set.copyOf(track.info().labels()),
        track.info().capacity(),
        track.free(false),
        track.free(true),
        track.tasksByStep(),
        yielding(track, jobs),
        track.sickness(),
        speeds.slowness(track.info().rack()));
  }

  private static void addRunning(
      List<PlanView.Running> running, WorkerTrack track, Map<JobId, Job> jobs, long nowMillis) {
    for (Attempt attempt : track.all()) {
      Job job = jobs.get(attempt.key().task().job());
      boolean movable =
          attempt.isKnown()
              && !attempt.isStopWanted()
              && attempt.state() != Attempt.State.PLANNED
              && job != null;
      if (!movable) {
        continue;
      }
      StepSpec spec = job.submission().request().steps().get(attempt.key().task().step().step());
      if (spec.service()) {
        continue;
      }
      running.add(
          new PlanView.Running(
              attempt.key().task(),
              attempt.key().run(),
              track.id(),
              attempt.held(),
              job.submission().terms().priority(),
              spec.gang(),
              attempt.unsavedMillis(spec.checkpoints(), nowMillis)));
    }
  }
}
