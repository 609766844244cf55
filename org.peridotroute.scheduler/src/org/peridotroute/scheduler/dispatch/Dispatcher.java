package org.peridotroute.scheduler.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.plan.Placer;
import org.peridotroute.scheduler.plan.PlanOrder;
import org.peridotroute.scheduler.plan.PlanView;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.Occurrence;
import org.peridotroute.scheduler.table.StepProgress;
import org.peridotroute.scheduler.table.TaskProgress;

/**
 * The planner during one term: decides, stores each decision, then orders. Belongs to the control
 * thread, on which all answers are taken in.
 */
public final class Dispatcher implements Fleet.Owner {
  /** Patience with the log before decisions pause; room may change while an append hangs. */
  private static final long STALL_MILLIS = 250;

  /** Longest time between two passes while anything waits, for what time alone decides. */
  private static final long PASS_MILLIS = 250;

  /** Shortest time between two passes, so that a burst costs few of them. */
  private static final long PASS_GAP_MILLIS = 15;

  /** Failures in a row after which a worker gets no work for a while. */
  private static final int SICK_AFTER = 2;

  private static final long SICK_MILLIS = 4_000;

  private final Term term;
  private final DispatchSettings settings;
  private final Time time;
  private final Events events;
  private final Placer placer;
  private final Journal journal;
  private final Fleet fleet;
  private final Estimates estimates = new Estimates();
  private final RackSpeeds speeds = new RackSpeeds();
  private final PlanViews views = new PlanViews(estimates, speeds);
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final BiConsumer<JobId, JobPhase> onShown;
  private final Consumer<String> onSuperseded;
  private Configuration configuration;
  private boolean changed = true;
  private boolean waitingLeft;
  private long lastPassMillis;
  private boolean closed;

  /**
   * What a dispatcher works with.
   *
   * @param log where progress is stored
   * @param gateway calls to workers
   * @param control the control thread
   * @param time clocks
   * @param events where events go
   * @param placer what decides
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
   * @param settings its times
   * @param ports what it works with
   * @param onShown told of each phase that a job has reached for good
   * @param onSuperseded told when another planner has taken over
   */
  public Dispatcher(
      Term term,
      DispatchSettings settings,
      Ports ports,
      BiConsumer<JobId, JobPhase> onShown,
      Consumer<String> onSuperseded) {
    this.term = term;
    this.settings = settings;
    this.onShown = onShown;
    this.onSuperseded = onSuperseded;
    time = ports.time();
    events = ports.events();
    placer = ports.placer();
    journal =
        new Journal(
            ports.log(),
            term,
            ports.control(),
            time,
            events,
            outcome -> supersede("the log answered " + outcome),
            settings.proofMillis());
    fleet = new Fleet(ports.gateway(), settings, term, ports.control(), time, events, this);
  }

  /** Returns the term. */
  public Term term() {
    return term;
  }

  /** Returns the steady time at which the last append that the log has confirmed was sent. */
  public long confirmedMillis() {
    return journal.confirmedMillis();
  }

  /** Stops giving orders. What runs keeps its leases. */
  public void close() {
    closed = true;
    journal.close();
    fleet.close();
  }

  /**
   * Takes a job in, new or from an earlier term.
   *
   * @param job the job
   */
  public void add(Job job) {
    if (jobs.putIfAbsent(job.submission().id(), job) != null) {
      return;
    }
    estimates.submitted(job.submission());
    for (Occurrence occurrence : job.openOccurrences()) {
      for (StepProgress step : occurrence.steps()) {
        inherit(step);
      }
    }
    changed = true;
  }

  private void inherit(StepProgress step) {
    boolean broken = step.spec().gang() && !step.isFullyAssigned();
    for (int i = 0; i < step.tasks().size(); i++) {
      TaskProgress task = step.tasks().get(i);
      if (task.state() != TaskProgress.State.ASSIGNED) {
        continue;
      }
      Attempt.Key key = new Attempt.Key(new TaskId(step.id(), i), task.run());
      Attempt attempt =
          new Attempt(
              key, step.spec().reserved(), Attempt.State.UNCERTAIN, true, time.steadyMillis());
      attempt.settleFrom(0);
      if (broken) {
        attempt.wantStop();
      }
      fleet.track(task.worker()).attempts().put(key, attempt);
    }
  }

  /**
   * Ends a job at its caller's wish.
   *
   * @param id the job
   */
  public void cancel(JobId id) {
    Job job = jobs.get(id);
    if (job == null || job.phase().isEnded()) {
      return;
    }
    job.cancel();
    store(job);
    stopAll(job);
  }

  /**
   * Takes a worker's description of itself in.
   *
   * @param info the description
   */
  public void worker(WorkerInfo info) {
    fleet.listed(info);
    changed = true;
  }

  /**
   * Takes in that a worker is on the list no more.
   *
   * @param id the worker
   */
  public void workerLeft(WorkerId id) {
    fleet.unlisted(id);
  }

  /**
   * Sets the configuration in force.
   *
   * @param latest the configuration
   */
  public void configure(Configuration latest) {
    configuration = latest;
    changed = true;
  }

  /** Does what is due. */
  public void step() {
    if (closed) {
      return;
    }
    fleet.step();
    long now = time.steadyMillis();
    boolean due =
        changed
            ? now - lastPassMillis >= PASS_GAP_MILLIS
            : waitingLeft && now - lastPassMillis >= PASS_MILLIS;
    if (due && configuration != null && !journal.isStalled(now, STALL_MILLIS)) {
      pass(now);
    }
    if (!closed) {
      journal.flush(settings.renewMillis());
    }
  }

  private void pass(long now) {
    lastPassMillis = now;
    changed = false;
    long wall = time.wallMillis();
    waitingLeft = false;
    for (Job job : jobs.values()) {
      if (job.openDueOccurrences(wall) || !job.phase().isEnded()) {
        waitingLeft = true;
      }
    }
    PlanView view = views.view(jobs.values(), jobs, fleet.tracks(), configuration, now, wall);
    if (view.waiting().isEmpty()) {
      return;
    }
    for (PlanOrder order : placer.decide(view)) {
      if (order instanceof PlanOrder.Start start) {
        plan(start, now);
      } else if (order instanceof PlanOrder.Preempt preempt) {
        preempt(preempt);
      }
    }
  }

  private void plan(PlanOrder.Start start, long now) {
    Job job = jobs.get(start.step().job());
    StepProgress step =
        job.step(new TaskId(start.step(), 0))
            .orElseThrow(() -> new IllegalStateException("no step " + start.step()));
    int run = step.lastRun() + 1;
    List<Planned> planned = new ArrayList<>();
    start
        .workers()
        .forEach(
            (index, worker) -> {
              TaskId task = new TaskId(step.id(), index);
              job.assign(task, run, worker);
              Attempt.Key key = new Attempt.Key(task, run);
              Attempt attempt =
                  new Attempt(key, step.spec().reserved(), Attempt.State.PLANNED, true, now);
              WorkerTrack track = fleet.track(worker);
              track.attempts().put(key, attempt);
              planned.add(new Planned(track, attempt));
            });
    store(job);
    tellPlaced(start, job, step, run);
    journal.afterStored(() -> send(job, step, planned));
  }

  private void tellPlaced(PlanOrder.Start start, Job job, StepProgress step, int run) {
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
        estimates.taskMillis(job.submission(), step.spec()),
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

  /** A run whose intent is about to be stored. */
  private record Planned(WorkerTrack track, Attempt attempt) {}

  private void send(Job job, StepProgress step, List<Planned> planned) {
    if (closed) {
      return;
    }
    long now = time.steadyMillis();
    boolean allUsable = planned.stream().allMatch(one -> one.track().isUsable(now));
    boolean whole = !step.spec().gang() || allUsable;
    for (Planned one : planned) {
      if (one.attempt().isEnded()) {
        continue;
      }
      if (job.phase().isEnded() || one.attempt().isStopWanted()) {
        fleet.withdraw(one.track(), one.attempt(), "the job was ended before the start was sent");
      } else if (!whole || !one.track().isUsable(now)) {
        fleet.withdraw(one.track(), one.attempt(), "a worker is no longer usable");
      } else {
        String checkpoint = step.tasks().get(one.attempt().key().task().index()).checkpoint();
        fleet.sendStart(
            one.track(),
            one.attempt(),
            new Fleet.StartTerms(job.submission().request().payload(), checkpoint));
      }
    }
  }

  private void preempt(PlanOrder.Preempt order) {
    Job job = jobs.get(order.task().job());
    StepProgress step = job.step(order.task()).orElse(null);
    if (step == null) {
      return;
    }
    events.info(
        "run-preempted",
        "job",
        order.task().job(),
        "task",
        order.task(),
        "run",
        order.run(),
        "saves",
        step.spec().checkpoints(),
        "for",
        order.beneficiary());
    if (step.spec().gang()) {
      stopStep(step, order.run());
    } else {
      stopTask(step, order.task().index(), order.run());
    }
  }

  private void stopStep(StepProgress step, int run) {
    for (int i = 0; i < step.tasks().size(); i++) {
      stopTask(step, i, run);
    }
  }

  private void stopTask(StepProgress step, int index, int run) {
    TaskProgress task = step.tasks().get(index);
    if (task.state() != TaskProgress.State.ASSIGNED || task.run() != run) {
      return;
    }
    Attempt attempt =
        fleet
            .track(task.worker())
            .attempts()
            .get(new Attempt.Key(new TaskId(step.id(), index), run));
    if (attempt != null) {
      attempt.wantStop();
    }
  }

  private void stopAll(Job job) {
    for (WorkerTrack track : fleet.tracks()) {
      for (Attempt attempt : track.all()) {
        if (attempt.key().task().job().equals(job.submission().id())) {
          attempt.wantStop();
        }
      }
    }
  }

  private void store(Job job) {
    journal.changed(job);
    JobPhase phase = job.phase();
    journal.afterStored(() -> onShown.accept(job.submission().id(), phase));
    changed = true;
  }

  @Override
  public Attempt adopt(WorkerId worker, Attempt.Key key) {
    Job job = jobs.get(key.task().job());
    StepProgress step = job == null ? null : job.step(key.task()).orElse(null);
    boolean known =
        step != null
            && !job.phase().isEnded()
            && step.tasks().get(key.task().index()).isAssigned(key.run(), worker);
    Capacity held = held(job, key.task().step());
    return new Attempt(key, held, Attempt.State.RUNNING, known, time.steadyMillis());
  }

  private static Capacity held(Job job, StepId step) {
    boolean known = job != null && step.step() < job.submission().request().steps().size();
    return known ? job.submission().request().steps().get(step.step()).reserved() : Capacity.NONE;
  }

  @Override
  public void ended(
      WorkerTrack track, Attempt attempt, RunEnd end, String checkpoint, String evidence) {
    TaskId task = attempt.key().task();
    Job job = jobs.get(task.job());
    StepProgress step = job == null ? null : job.step(task).orElse(null);
    boolean known =
        job != null && job.endRun(task, attempt.key().run(), track.id(), end, checkpoint);
    events.info(
        "run-ended",
        "job",
        task.job(),
        "task",
        task,
        "run",
        attempt.key().run(),
        "worker",
        track.id(),
        "end",
        end,
        "evidence",
        evidence,
        "tookMillis",
        time.steadyMillis() - attempt.sinceMillis(),
        "counted",
        known);
    if (!known) {
      return;
    }
    judge(track, end);
    if (end == RunEnd.DONE && attempt.state() == Attempt.State.RUNNING) {
      observe(job, step, track, time.steadyMillis() - attempt.sinceMillis());
    }
    if (step.spec().gang() && end != RunEnd.DONE) {
      stopStep(step, attempt.key().run());
    }
    if (job.phase().isEnded()) {
      events.info("job-ended", "job", task.job(), "phase", job.phase());
      stopAll(job);
    }
    store(job);
  }

  private void observe(Job job, StepProgress step, WorkerTrack track, long tookMillis) {
    long expected = estimates.taskMillis(job.submission(), step.spec());
    estimates.observe(job.submission(), step.spec(), tookMillis);
    if (track.info() != null) {
      speeds.observed(track.info().rack(), expected, tookMillis);
    }
  }

  private void judge(WorkerTrack track, RunEnd end) {
    if (end == RunEnd.DONE) {
      track.well();
    } else if (end == RunEnd.FAILED) {
      boolean sick = track.sickness() + 1 >= SICK_AFTER;
      track.sick(sick ? time.steadyMillis() + SICK_MILLIS : 0);
    }
  }

  @Override
  public void afterStored(Runnable action) {
    journal.afterStored(action);
  }

  @Override
  public boolean mayExtendLeases() {
    return time.steadyMillis() - journal.confirmedMillis() <= settings.unconfirmedMillis();
  }

  @Override
  public void superseded(WorkerId by) {
    supersede("worker " + by + " has seen a greater fencing token");
  }

  private void supersede(String evidence) {
    if (!closed) {
      close();
      onSuperseded.accept(evidence);
    }
  }

  @Override
  public void changed() {
    changed = true;
  }

  /** Returns the jobs that have not ended, for the dump. */
  public long openJobs() {
    return jobs.values().stream().filter(job -> !job.phase().isEnded()).count();
  }

  /** Returns the workers known, for the dump. */
  public int workers() {
    return fleet.tracks().size();
  }

  /** Returns the jobs that wait for the log, for the dump. */
  public int journalBacklog() {
    return journal.backlog();
  }
}
