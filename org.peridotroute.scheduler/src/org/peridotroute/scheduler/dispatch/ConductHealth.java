package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.peridotroute.lib.HostPort;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.conduct.ConductBook;
import org.peridotroute.scheduler.conduct.ConductChange;
import org.peridotroute.scheduler.conduct.ConductState;
import org.peridotroute.scheduler.conduct.ProgressSample;
import org.peridotroute.scheduler.conduct.SavedConduct;
import org.peridotroute.scheduler.conduct.WorkerConduct;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.scheduler.table.Job;

/**
 * Limits the new work of workers by their conduct: passes what happens to the conduct book and
 * applies its decisions.
 */
final class ConductHealth implements WorkerHealth {
  private static final long REVIEW_MILLIS = 500;

  /** Interval at which the conduct of workers that are not listed is forgotten. */
  private static final long PRUNE_MILLIS = 600_000;

  /**
   * Time for which a worker that refused a start gets no new one, whatever its conduct; otherwise
   * each pass would send it the same work again.
   */
  private static final long REFUSAL_PAUSE_MILLIS = 1_500;

  /** Share of its capacity that is offered on trial: two of eight accelerators. */
  private static final double TRIAL_SHARE = 0.25;

  private final ConductBook book;
  private final Time time;
  private final Events events;
  private final Map<JobId, Job> jobs;
  private final DurationEstimator durationEstimator;
  private final Consumer<WorkerState> store;

  /** Workers that have crashed, by address, until their next incarnation is known. */
  private final Map<HostPort, WorkerId> crashedByAddress = new HashMap<>();

  private long lastReviewMillis;
  private long lastPruneMillis;

  /**
   * Creates the health of a term.
   *
   * @param jobs the jobs by id, which the caller keeps up to date
   * @param store stores the record of a worker after its conduct has changed
   */
  ConductHealth(
      Time time,
      Events events,
      Map<JobId, Job> jobs,
      DurationEstimator durationEstimator,
      Collection<WorkerRecord> inherited,
      Consumer<WorkerState> store) {
    this.time = time;
    this.events = events;
    this.jobs = jobs;
    this.durationEstimator = durationEstimator;
    this.store = store;
    book = new ConductBook(time.steadyMillis());
    lastPruneMillis = time.steadyMillis();
    long steadyMinusWall = time.steadyMillis() - time.wallMillis();
    for (WorkerRecord record : inherited) {
      SavedConduct saved = record.conduct();
      book.inherit(record.id(), saved.level(), saved.untilWallMillis() + steadyMinusWall);
    }
  }

  @Override
  public void onRunEnded(WorkerState worker, Attempt attempt, RunEnd end) {
    Job job = jobs.get(attempt.key().task().job());
    if (job != null && (end == RunEnd.DONE || end == RunEnd.FAILED)) {
      book.onRunEnded(
          worker.id(),
          job.submission().queue(),
          attempt.key().task().job().toString(),
          attempt.key().task().toString(),
          end == RunEnd.FAILED,
          time.steadyMillis());
    }
  }

  @Override
  public void onStartRefused(WorkerState worker) {
    // Starts that were sent together are refused for one reason.
    if (worker.restraint().permits(time.steadyMillis())) {
      book.onRefusal(worker.id(), time.steadyMillis());
    }
    worker.restraint().pauseUntil(time.steadyMillis() + REFUSAL_PAUSE_MILLIS);
  }

  @Override
  public void onSilence(WorkerState worker) {
    // A worker that has announced its end falls silent as announced.
    if (!worker.info().draining()) {
      book.onSilence(worker.id(), time.steadyMillis());
    }
  }

  @Override
  public void onRegained(WorkerState worker) {
    book.onRegained(worker.id(), time.steadyMillis());
  }

  @Override
  public void onCrashed(WorkerState worker) {
    book.onReplaced(worker.id(), worker.id(), time.steadyMillis());
    crashedByAddress.put(worker.info().address(), worker.id());
    apply(worker);
  }

  @Override
  public void review(Collection<WorkerState> workers) {
    long now = time.steadyMillis();
    if (now - lastReviewMillis < REVIEW_MILLIS) {
      return;
    }
    lastReviewMillis = now;
    List<ConductBook.Member> members = new ArrayList<>();
    List<ProgressSample> samples = new ArrayList<>();
    Map<WorkerId, WorkerState> listed = new HashMap<>();
    for (WorkerState worker : workers) {
      if (worker.hasInfo() && worker.isListed()) {
        listed.put(worker.id(), worker);
        members.add(
            new ConductBook.Member(worker.id(), worker.info().service(), worker.info().rack()));
        addSamples(worker, samples);
      }
    }
    prune(listed.keySet(), now);
    List<ConductChange> changes = book.review(members, samples, now);
    for (ConductChange change : changes) {
      WorkerState worker = listed.get(change.worker());
      apply(worker);
      store.accept(worker);
      report(change);
    }
  }

  private void prune(Set<WorkerId> listed, long now) {
    if (now - lastPruneMillis >= PRUNE_MILLIS) {
      lastPruneMillis = now;
      book.retain(listed);
      crashedByAddress.clear();
    }
  }

  @Override
  public void onListed(WorkerState worker) {
    // The next incarnation may have another id at the same address.
    HostPort address = worker.info().address();
    WorkerId predecessor = crashedByAddress.get(address);
    if (predecessor != null && !predecessor.equals(worker.id())) {
      crashedByAddress.remove(address);
      book.onReplaced(predecessor, worker.id(), time.steadyMillis());
    }
    apply(worker);
  }

  private void addSamples(WorkerState worker, List<ProgressSample> samples) {
    for (Attempt attempt : worker.attempts()) {
      Job job = jobs.get(attempt.key().task().job());
      boolean counts =
          job != null
              && attempt.isCurrent()
              && attempt.state() == Attempt.State.RUNNING
              && !attempt.isStopRequested();
      if (!counts) {
        continue;
      }
      StepSpec step = job.submission().request().steps().get(attempt.key().task().step().step());
      if (!step.gang() && !step.service()) {
        samples.add(
            new ProgressSample(
                attempt.key(),
                worker.id(),
                job.submission().queue(),
                attempt.key().task().job().toString(),
                attempt.percent(),
                attempt.progressSeenMillis(),
                durationEstimator.taskMillis(job.submission(), step)));
      }
    }
  }

  private void apply(WorkerState worker) {
    WorkerConduct conduct = book.conduct(worker.id());
    ConductState state = conduct.state();
    worker
        .restraint()
        .set(
            state == ConductState.QUARANTINED,
            state.rank(),
            state == ConductState.ON_TRIAL ? TRIAL_SHARE : 1);
    worker.restraint().save(conduct.toSaved(time.wallMillis() - time.steadyMillis()));
  }

  @Override
  public String describe() {
    return " quarantined=%s onTrial=%s doubtful=%s"
        .formatted(
            book.workersIn(ConductState.QUARANTINED),
            book.workersIn(ConductState.ON_TRIAL),
            book.workersIn(ConductState.DOUBTFUL));
  }

  private void report(ConductChange change) {
    String name =
        switch (change.conduct().state()) {
          case QUARANTINED -> "worker-quarantined";
          case ON_TRIAL -> "worker-on-trial";
          case SOUND -> "worker-sound";
          case DOUBTFUL -> "worker-doubtful";
        };
    events.info(
        name,
        "worker",
        change.worker(),
        "from",
        change.from(),
        "evidence",
        change.evidence(),
        "level",
        change.conduct().level(),
        "millis",
        Math.max(0, change.conduct().untilMillis() - time.steadyMillis()));
  }
}
