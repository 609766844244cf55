package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.load.LoadSummary;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.place.ClosureBound;
import org.peridotroute.scheduler.place.Closures;
import org.peridotroute.scheduler.plan.PlacementDecision;
import org.peridotroute.scheduler.plan.Placer;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.Occurrence;
import org.peridotroute.scheduler.table.StepProgress;

/**
 * The planner during one term: decides, stores each decision on the log, then sends the calls to
 * workers. Confined to the control thread, on which all replies are delivered too.
 */
public final class Dispatcher implements WorkerManager.Listener {
  /**
   * Age of an unconfirmed append beyond which no passes run, because capacity may change while the
   * append is pending.
   */
  private static final long LOG_STALL_MILLIS = 250;

  /**
   * Longest time between two passes while any job is open; some decisions depend on elapsed time
   * alone.
   */
  private static final long MAX_PASS_INTERVAL_MILLIS = 250;

  /** Shortest time between two passes, so that a burst of changes costs only a few passes. */
  private static final long MIN_PASS_INTERVAL_MILLIS = 15;

  /**
   * Shortest time between the starts of two passes, as a multiple of the duration of the first. It
   * leaves time for the replies of workers and of the log on a slow processor.
   */
  private static final long PASS_INTERVAL_FACTOR = 4;

  /**
   * Age of the list of workers beyond which no starts are sent, because a worker may have shrunk.
   */
  private static final long MAX_WORKER_LIST_AGE_MILLIS = 3_000;

  /** Time between two searches for runs that should not go on. */
  private static final long STOP_REVIEW_MILLIS = 500;

  private final Term term;
  private final Inheritance inheritance;
  private final DispatchSettings settings;
  private final Time time;
  private final DispatchEvents dispatchEvents;
  private final Placer placer;
  private final Journal journal;
  private final WorkerManager workerManager;
  private final RunStopper runStopper;
  private final PlannedStarts plannedStarts;
  private final Departures departures;
  private final WorkerRecords workerRecords;
  private final DurationEstimator durationEstimator = new DurationEstimator();
  private final SpeedEstimates speeds;
  private final WorkerHealth health;
  private final StopHistory stopHistory = new StopHistory();
  private final LostWork lostWork;
  private final QueueServices queueServices;
  private final PlanViewBuilder viewBuilder;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final CapacityClaims claims;
  private final Listener listener;
  private final LoadMeter loadMeter;
  private final ClosureBound closureBound;
  private Closures closures = Closures.UNKNOWN;
  private boolean startsWithheld;
  private Configuration configuration;
  private boolean passNeeded = true;
  private boolean openJobsLeft;
  private long workersCurrentAsOfMillis = Long.MIN_VALUE;
  private long lastPassMillis;
  private long lastStopReviewMillis;
  private long lastPassTookMillis;
  private boolean settled;
  private boolean closed;

  /** Called by a dispatcher on the control thread. */
  public interface Listener {
    /** Called with the phase of a job once it is on the log. */
    void onPhaseStored(JobId id, JobPhase phase);

    /** Called with each load summary that is about to be published. */
    void onLoadMeasured(LoadSummary summary);

    /** Called with the evidence when another planner has taken over. */
    void onSuperseded(String evidence);
  }

  /**
   * External interfaces of a dispatcher.
   *
   * @param log stores the progress of jobs
   * @param gateway calls to workers
   * @param control executor of the control thread
   * @param time clocks
   * @param events receives log events
   * @param placer makes the placement decisions
   */
  public record Ports(
      KeyedLog log,
      WorkerGateway gateway,
      Executor control,
      Time time,
      Events events,
      Placer placer) {}

  /**
   * Creates the planner of a term.
   *
   * @param term the term
   * @param settings timing settings
   * @param ports external interfaces
   * @param inheritance what is known of earlier terms
   * @param listener receives what the term brings about
   */
  public Dispatcher(
      Term term,
      DispatchSettings settings,
      Ports ports,
      Inheritance inheritance,
      Listener listener) {
    this.term = term;
    this.inheritance = inheritance;
    this.settings = settings;
    this.listener = listener;
    queueServices = inheritance.queueServices();
    loadMeter = new LoadMeter(term, durationEstimator, queueServices);
    time = ports.time();
    dispatchEvents = new DispatchEvents(ports.events(), time, term, durationEstimator);
    lostWork = new LostWork(stopHistory, dispatchEvents, time);
    placer = ports.placer();
    closureBound = new ClosureBound(settings.policy().closureMillis());
    boolean conduct = settings.policy().has(Feature.WORKER_CONDUCT);
    speeds = new SpeedEstimates(conduct, durationEstimator);
    health = newHealth(conduct, ports.events());
    viewBuilder =
        new PlanViewBuilder(
            durationEstimator, speeds, stopHistory, queueServices, settings, time.steadyMillis());
    journal =
        new Journal(
            ports.log(),
            term,
            ports.control(),
            time,
            ports.events(),
            outcome -> stepDown("log append ended with " + outcome),
            settings.maxProofAgeMillis(),
            inheritance.claimedMillis());
    workerManager =
        new WorkerManager(
            ports.gateway(),
            settings,
            term,
            ports.control(),
            time,
            ports.events(),
            inheritance,
            this);
    claims = new CapacityClaims(jobs, queueServices, workerManager);
    runStopper = new RunStopper(workerManager, time);
    plannedStarts = new PlannedStarts(workerManager, time);
    departures = new Departures(viewBuilder, runStopper, dispatchEvents, settings.stopMillis());
    workerRecords = new WorkerRecords(inheritance.records(), journal::store, time.steadyMillis());
  }

  private WorkerHealth newHealth(boolean conduct, Events events) {
    return conduct
        ? new ConductHealth(
            time, events, jobs, durationEstimator, inheritance.records(), this::storeConduct)
        : new FailureQuarantine(time);
  }

  /** Returns the term. */
  public Term term() {
    return term;
  }

  /** Returns the steady time at which the last append confirmed by the log was sent. */
  public long confirmedMillis() {
    return journal.confirmedMillis();
  }

  /** Stops sending calls. Running tasks keep their leases. */
  public void close() {
    closed = true;
    journal.close();
    workerManager.close();
  }

  /**
   * Adds a job, either a new one or one from an earlier term.
   *
   * @param job the job; ignored if it is known already
   */
  public void add(Job job) {
    if (jobs.putIfAbsent(job.submission().id(), job) != null) {
      return;
    }
    durationEstimator.onSubmitted(job.submission());
    for (Occurrence occurrence : job.openOccurrences()) {
      for (StepProgress step : occurrence.steps()) {
        InheritedAttempts.add(job, step, workerManager, time.steadyMillis());
      }
    }
    passNeeded = true;
  }

  /**
   * Cancels a job at the request of its caller.
   *
   * @param id the job; ignored if it is unknown or has ended
   */
  public void cancel(JobId id) {
    Job job = jobs.get(id);
    if (job == null || job.phase().isEnded()) {
      return;
    }
    job.cancel();
    storeProgress(job);
    runStopper.stopRuns(job);
  }

  /**
   * Handles the description that a worker publishes of itself.
   *
   * @param info the description
   */
  public void onWorkerListed(WorkerInfo info) {
    workerManager.onListed(info);
    WorkerState workerState = workerManager.getOrCreate(info.id());
    health.onListed(workerState);
    workerRecords.updateIfStored(workerState);
    passNeeded = true;
  }

  /**
   * Handles the removal of a worker from the list.
   *
   * @param id the worker
   */
  public void onWorkerUnlisted(WorkerId id) {
    workerManager.onUnlisted(id);
  }

  /**
   * Sets the time up to which everything that workers published is known here.
   *
   * @param asOfMillis steady time
   */
  public void setWorkersCurrentAsOf(long asOfMillis) {
    workersCurrentAsOfMillis = asOfMillis;
  }

  /**
   * Sets the configuration in force.
   *
   * @param latest the configuration
   */
  public void configure(Configuration latest) {
    configuration = latest;
    workerManager.configure(latest);
    queueServices.takeUnstored().ifPresent(journal::store);
    passNeeded = true;
  }

  /**
   * Sets the data centres that are closed for new work.
   *
   * @param latest the closed data centres and the time as of which they are known
   */
  public void setClosures(Closures latest) {
    if (!latest.dataCentres().equals(closures.dataCentres())) {
      workerManager.setClosures(latest);
      passNeeded = true;
    }
    closures = latest;
    boolean withheld = !closureBound.permitsStarts(closures, time.steadyMillis());
    if (withheld != startsWithheld) {
      startsWithheld = withheld;
      dispatchEvents.onStartsWithheld(withheld, closures);
    }
  }

  /** Polls workers, runs a pass if one is due and appends changed progress. Called periodically. */
  public void tick() {
    if (closed) {
      return;
    }
    long now = time.steadyMillis();
    if (now - lastStopReviewMillis >= STOP_REVIEW_MILLIS) {
      lastStopReviewMillis = now;
      runStopper.stopUnwanted(jobs);
    }
    workerManager.tick();
    health.review(workerManager.workers());
    workerRecords.prune(id -> workerManager.find(id) != null, now);
    if (!settled && now >= inheritance.grantsEnd().millis()) {
      settled = true;
      journal.store(term.settledRecord());
    }
    long interval =
        passNeeded
            ? Math.min(
                MAX_PASS_INTERVAL_MILLIS,
                Math.max(MIN_PASS_INTERVAL_MILLIS, PASS_INTERVAL_FACTOR * lastPassTookMillis))
            : MAX_PASS_INTERVAL_MILLIS;
    boolean due = (passNeeded || openJobsLeft) && now - lastPassMillis >= interval;
    if (due && configuration != null && !journal.isStalled(now, LOG_STALL_MILLIS)) {
      runPass(now);
      lastPassTookMillis = time.steadyMillis() - now;
    }
    if (settings.policy().has(Feature.ADMISSION) && loadMeter.isDue(now)) {
      publishLoad(now);
    }
    if (!closed) {
      journal.flush(settings.renewMillis());
    }
  }

  private void publishLoad(long now) {
    LoadSummary summary =
        loadMeter.measure(jobs.values(), workerManager.workers(), now, time.wallMillis());
    journal.store(summary.toRecord());
    listener.onLoadMeasured(summary);
  }

  private void runPass(long now) {
    lastPassMillis = now;
    passNeeded = false;
    long wall = time.wallMillis();
    Set<String> services = new HashSet<>();
    for (Job job : jobs.values()) {
      if (job.openDueOccurrences(wall) || !job.phase().isEnded()) {
        services.add(serviceOf(job.submission()));
      }
    }
    openJobsLeft = !services.isEmpty();
    workerManager.setServicesOfJobs(services);
    claims.removeOutdated();
    PlanView view = buildView(viewBuilder, jobs, now, wall);
    claims.retain(view.pendingSteps());
    List<PlacementDecision> decisions =
        view.pendingSteps().isEmpty() ? List.of() : placer.decide(view);
    for (PlacementDecision decision : decisions) {
      if (decision instanceof PlacementDecision.Start start) {
        claims.remove(start.step());
        assignTasks(start, now);
      } else if (decision instanceof PlacementDecision.Reserve reserve) {
        claims.put(reserve.claim());
      } else if (decision instanceof PlacementDecision.Preempt preempt) {
        preempt(preempt);
      }
    }
    if (settings.policy().has(Feature.STOP_HISTORY)) {
      departures.moveRuns(view, decisions, workerManager.workers(), jobs, wall);
    }
  }

  /** Returns the service whose workers may start tasks of a job now. */
  public String serviceOf(Submission submission) {
    return queueServices.serviceOf(submission);
  }

  private PlanView buildView(PlanViewBuilder builder, Map<JobId, Job> among, long now, long wall) {
    return builder.build(
        among.values(), among, workerManager.workers(), configuration, claims.all(), now, wall);
  }

  /**
   * Returns the view that a pass would decide on now. Changes nothing.
   *
   * @param submission a job that is added to the view unless the planner has considered it already
   */
  public PlanView viewWith(Submission submission) {
    long now = time.steadyMillis();
    long wall = time.wallMillis();
    return ViewOfNow.with(
        jobs, submission, wall, among -> buildView(viewBuilder.copy(), among, now, wall));
  }

  /** Returns the age of the list of workers, -1 if it has not been read. */
  public long workerListAgeMillis() {
    return workersCurrentAsOfMillis == Long.MIN_VALUE
        ? -1
        : time.steadyMillis() - workersCurrentAsOfMillis;
  }

  private void assignTasks(PlacementDecision.Start start, long now) {
    Job job = jobs.get(start.step().job());
    StepProgress step =
        job.step(new TaskId(start.step(), 0))
            .orElseThrow(() -> new IllegalStateException("no step " + start.step()));
    int run = step.lastRun() + 1;
    List<PlannedStarts.Planned> plannedAttempts = new ArrayList<>();
    start
        .workers()
        .forEach(
            (index, worker) -> {
              TaskId task = new TaskId(step.id(), index);
              job.assign(task, run, worker);
              Attempt.Key key = new Attempt.Key(task, run);
              Attempt attempt =
                  new Attempt(key, step.spec().reserved(), Attempt.State.PLANNED, true, now);
              attempt.setProbationMillis(step.tasks().get(index).crashHistory().probationMillis());
              WorkerState workerState = workerManager.getOrCreate(worker);
              workerState.attemptsByKey().put(key, attempt);
              workerRecords.update(workerState);
              plannedAttempts.add(new PlannedStarts.Planned(workerState, attempt));
            });
    storeProgress(job);
    dispatchEvents.onPlaced(start, job, step, run);
    journal.afterStored(
        () -> {
          if (!closed) {
            plannedStarts.send(job, step, plannedAttempts);
          }
        });
  }

  private void preempt(PlacementDecision.Preempt decision) {
    Job job = jobs.get(decision.task().job());
    StepProgress step = job.step(decision.task()).orElse(null);
    if (step == null) {
      return;
    }
    dispatchEvents.onPreempted(decision, step);
    runStopper.preempt(decision, step);
  }

  private void storeProgress(Job job) {
    journal.markChanged(job);
    JobPhase phase = job.phase();
    journal.afterStored(() -> listener.onPhaseStored(job.submission().id(), phase));
    passNeeded = true;
  }

  @Override
  public Attempt adopt(WorkerId worker, Attempt.Key key) {
    Job job = jobs.get(key.task().job());
    boolean current = WantedRuns.isWanted(job, key, worker);
    Capacity held = reservedCapacity(job, key.task().step());
    return new Attempt(key, held, Attempt.State.RUNNING, current, time.steadyMillis());
  }

  private static Capacity reservedCapacity(Job job, StepId step) {
    boolean stepExists = job != null && step.step() < job.submission().request().steps().size();
    return stepExists
        ? job.submission().request().steps().get(step.step()).reserved()
        : Capacity.NONE;
  }

  @Override
  public void onRunEnded(
      WorkerState workerState, Attempt attempt, RunEnd end, String checkpoint, String evidence) {
    TaskId task = attempt.key().task();
    Job job = jobs.get(task.job());
    StepProgress step = job == null ? null : job.step(task).orElse(null);
    boolean current = job != null && recordEnd(job, workerState.id(), attempt, end, checkpoint);
    dispatchEvents.onRunEnded(workerState, attempt, end, evidence, current);
    if (!current) {
      return;
    }
    if (settings.policy().has(Feature.STOP_HISTORY)) {
      lostWork.onRunEnded(job, step, attempt, end, checkpoint);
    }
    health.onRunEnded(workerState, attempt, end);
    if (end == RunEnd.DONE && attempt.state() == Attempt.State.RUNNING) {
      speeds.addRun(job.submission(), step.spec(), workerState, attempt, time.steadyMillis());
    }
    if (step.spec().gang() && end != RunEnd.DONE) {
      runStopper.stopStep(step, attempt.key().run());
    }
    if (job.phase().isEnded()) {
      dispatchEvents.onJobEnded(job, task);
      runStopper.stopRuns(job);
    }
    storeProgress(job);
  }

  private static boolean recordEnd(
      Job job, WorkerId worker, Attempt attempt, RunEnd end, String checkpoint) {
    Attempt.Key key = attempt.key();
    return end == RunEnd.CRASHED
        ? job.crashRun(
            key.task(),
            key.run(),
            worker,
            attempt.crash().ageMillis(),
            attempt.crash().circumstances())
        : job.endRun(key.task(), key.run(), worker, end, checkpoint);
  }

  @Override
  public void onSilenceChanged(WorkerState workerState) {
    workerRecords.updateIfStored(workerState);
  }

  @Override
  public WorkerHealth health() {
    return health;
  }

  private void storeConduct(WorkerState workerState) {
    workerRecords.updateConduct(workerState);
    passNeeded = true;
  }

  @Override
  public void afterStored(Runnable action) {
    journal.afterStored(action);
  }

  @Override
  public boolean mayExtendLeases(boolean leaving) {
    // Once the worker has left, a successor waits for the end of its leases.
    long maxMillis = leaving ? settings.maxProofAgeMillis() : settings.maxUnconfirmedMillis();
    return journal.unconfirmedMillis() <= maxMillis;
  }

  @Override
  public boolean mayStart() {
    long now = time.steadyMillis();
    return now - journal.confirmedMillis() <= settings.maxProofAgeMillis()
        && workersCurrentAsOfMillis >= now - MAX_WORKER_LIST_AGE_MILLIS
        && closureBound.permitsStarts(closures, now);
  }

  @Override
  public void onFenced(WorkerId by) {
    stepDown("worker " + by + " has seen a greater fencing token");
  }

  private void stepDown(String evidence) {
    if (!closed) {
      close();
      listener.onSuperseded(evidence);
    }
  }

  @Override
  public void onChanged() {
    passNeeded = true;
  }

  /** Returns the number of jobs that have not ended, for the dump. */
  public long openJobCount() {
    return jobs.values().stream().filter(job -> !job.phase().isEnded()).count();
  }

  /** Returns the number of known workers and those with bad conduct, for the dump. */
  public String describeWorkers() {
    return workerManager.workers().size() + health.describe();
  }

  /** Returns the number of jobs whose progress is not written yet, for the dump. */
  public int journalBacklog() {
    return journal.backlog();
  }
}
