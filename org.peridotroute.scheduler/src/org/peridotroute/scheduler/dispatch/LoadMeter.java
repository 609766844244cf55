package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.peridotroute.scheduler.load.LoadSummary;
import org.peridotroute.scheduler.load.QueueLoad;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.Occurrence;
import org.peridotroute.scheduler.table.StepProgress;
import org.peridotroute.scheduler.table.TaskProgress;

/**
 * Sums up the waiting work for publication. Confined to the control thread.
 *
 * <p>The wait of a queue is a lower bound: the accelerator time of all waiting work that is at
 * least as urgent and needs the same service, divided by all accelerators of that service, as if
 * nothing else ran. Work that is of no use any more is left out, since it starts last.
 */
final class LoadMeter {
  private static final long PUBLISH_INTERVAL_MILLIS = 500;

  private final Term term;
  private final DurationEstimator durationEstimator;
  private final QueueServices queueServices;
  private long version;
  private long lastPublishedMillis = Long.MIN_VALUE / 2;

  LoadMeter(Term term, DurationEstimator durationEstimator, QueueServices queueServices) {
    this.term = term;
    this.durationEstimator = durationEstimator;
    this.queueServices = queueServices;
  }

  /** Returns whether the last summary is old enough for the next one. */
  boolean isDue(long nowMillis) {
    return nowMillis - lastPublishedMillis >= PUBLISH_INTERVAL_MILLIS;
  }

  private static final class QueueSum {
    private final int priority;
    private final String service;
    private long acceleratorMillis;
    private long durationMillis;
    private final List<Long> jobAcceleratorMillis = new ArrayList<>();

    QueueSum(int priority, String service) {
      this.priority = priority;
      this.service = service;
    }
  }

  /** Returns the summary of now. */
  LoadSummary measure(
      Collection<Job> jobs, Collection<WorkerState> workers, long nowMillis, long wallMillis) {
    lastPublishedMillis = nowMillis;
    Map<String, QueueSum> sums = new TreeMap<>();
    Map<String, Long> urgentAccelerators = new HashMap<>();
    for (Job job : jobs) {
      if (job.phase().isEnded()) {
        continue;
      }
      Submission submission = job.submission();
      if (submission.terms().priority() == 0) {
        urgentAccelerators.merge(submission.organisation(), peakAccelerators(job), Long::sum);
      }
      if (!isExpired(submission, wallMillis)) {
        addWaiting(sums, job);
      }
    }
    Map<String, Long> accelerators = new HashMap<>();
    for (WorkerState worker : workers) {
      if (worker.hasInfo() && worker.isUsable(nowMillis)) {
        accelerators.merge(
            worker.info().service(), worker.info().capacity().accelerators(), Long::sum);
      }
    }
    List<QueueLoad> queues = new ArrayList<>();
    sums.forEach(
        (queue, sum) ->
            queues.add(
                load(queue, sum, sums.values(), accelerators.getOrDefault(sum.service, 0L))));
    long allAccelerators = accelerators.values().stream().mapToLong(Long::longValue).sum();
    return new LoadSummary(term.epoch(), ++version, allAccelerators, queues, urgentAccelerators);
  }

  private boolean isExpired(Submission submission, long wallMillis) {
    return submission.request().schedule().occurrences() == 1
        && wallMillis - submission.acceptedAtMillis()
            > Submission.Terms.EXPIRY_FACTOR * durationEstimator.objectiveMillis(submission);
  }

  private static long peakAccelerators(Job job) {
    return job.submission().request().steps().stream()
        .mapToLong(step -> step.count() * step.need().accelerators())
        .max()
        .orElse(0);
  }

  private void addWaiting(Map<String, QueueSum> sums, Job job) {
    Submission submission = job.submission();
    long acceleratorMillis = 0;
    for (Occurrence occurrence : job.openOccurrences()) {
      for (StepProgress step : occurrence.steps()) {
        long waiting =
            step.tasks().stream()
                .filter(task -> task.state() == TaskProgress.State.WAITING)
                .count();
        acceleratorMillis += waiting * acceleratorMillis(submission, step.spec());
      }
    }
    if (acceleratorMillis == 0) {
      return;
    }
    QueueSum sum =
        sums.computeIfAbsent(
            submission.queue(),
            key ->
                new QueueSum(submission.terms().priority(), queueServices.serviceOf(submission)));
    sum.acceleratorMillis += acceleratorMillis;
    sum.jobAcceleratorMillis.add(acceleratorMillis);
    sum.durationMillis +=
        durationEstimator.taskMillis(submission, submission.request().steps().get(0));
  }

  private long acceleratorMillis(Submission submission, StepSpec step) {
    return step.service()
        ? 0
        : Math.max(1, step.need().accelerators()) * durationEstimator.taskMillis(submission, step);
  }

  private static QueueLoad load(
      String queue, QueueSum sum, Collection<QueueSum> all, long accelerators) {
    long ahead =
        all.stream()
            .filter(other -> other.priority <= sum.priority)
            .filter(other -> other.service.equals(sum.service))
            .mapToLong(other -> other.acceleratorMillis)
            .sum();
    List<Long> sorted = sum.jobAcceleratorMillis.stream().sorted().toList();
    return new QueueLoad(
        queue,
        accelerators == 0 ? 0 : ahead / accelerators,
        sum.durationMillis / sorted.size(),
        sorted.get(sorted.size() / 2),
        sorted.size());
  }
}
