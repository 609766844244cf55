package org.peridotroute.scheduler.node;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.stream.Collectors;
import org.peridotroute.errors.RecordFormatException;
import org.peridotroute.scheduler.dispatch.Dispatcher;
import org.peridotroute.scheduler.dispatch.Inheritance;
import org.peridotroute.scheduler.dispatch.QueueServices;
import org.peridotroute.scheduler.dispatch.Term;
import org.peridotroute.scheduler.load.AcceptAll;
import org.peridotroute.scheduler.load.LoadHistory;
import org.peridotroute.scheduler.load.LoadSummary;
import org.peridotroute.scheduler.load.RefuseUseless;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.scheduler.table.PreparedSubmission;
import org.peridotroute.scheduler.table.ProgressCodec;
import org.peridotroute.scheduler.table.RequestCodec;

/**
 * One VM of the scheduler: accepts and stores requests, reports the phase of jobs, and plans while
 * it holds the planner role. {@link #step} must be called on the control thread at short intervals
 * and after each batch of replies. Only methods documented as such may be called by any thread.
 */
public final class SchedulerVm {
  private static final long NEVER = Long.MIN_VALUE;

  /** Decodes the records that operators and workers write to the log. */
  public interface Decoder {
    /**
     * Decodes a configuration.
     *
     * @param value value of its record
     * @return the configuration, or empty if the value cannot be decoded
     */
    Optional<Configuration> decodeConfiguration(byte[] value);

    /**
     * Returns the data centre that a record of operators closes for new work while it exists.
     *
     * @param key key of the record
     * @return the data centre, or empty if the record is of another kind
     */
    Optional<String> closedDataCentre(String key);

    /**
     * Decodes the description that a worker publishes of itself.
     *
     * @param id id of the worker
     * @param value value of its record
     * @return the description, or empty if the value cannot be decoded
     */
    Optional<WorkerInfo> decodeWorker(String id, byte[] value);
  }

  private final SchedulerVmSettings settings;
  private final Dispatcher.Ports ports;
  private final KeyedLog log;
  private final Time time;
  private final Events events;
  private final Executor control;
  private final Map<JobId, JobEntry> entries = new ConcurrentHashMap<>();
  private final StoredWorkers storedWorkers = new StoredWorkers();
  private final QueueServices queueServices = new QueueServices();
  private final RequestWriter writer;
  private final EarlyCancellations earlyCancellations;
  private final TopicFollower requests;
  private final TopicFollower progress;
  private final TopicFollower configurations;
  private final WorkerListing workerListing;
  private final TopicFollower workers;
  private final OperatorRecords operatorRecords;
  private final PlannerRole role;
  private final JobRequests jobRequests;
  private final LoadHistory loadHistory = new LoadHistory();
  private final JobExplainer explainer;
  private volatile long currentAsOfMillis = NEVER;
  private volatile long lastLogReplyMillis = NEVER;
  private volatile boolean leaving;
  private volatile boolean rejectingRequests;
  private volatile Dispatcher dispatcher;

  /**
   * Creates a VM.
   *
   * @param settings its names, intervals and timeouts
   * @param ports the log, the workers, the clocks and the control thread
   * @param decoder decodes configurations and workers' descriptions
   */
  public SchedulerVm(SchedulerVmSettings settings, Dispatcher.Ports ports, Decoder decoder) {
    this.settings = settings;
    this.ports = ports;
    log = ports.log();
    time = ports.time();
    events = ports.events();
    control = ports.control();
    writer = new RequestWriter(log, control, time, events);
    earlyCancellations = new EarlyCancellations(log, control, time, events);
    operatorRecords = new OperatorRecords(decoder, events, this::onConfiguration);
    long wait = settings.readWaitMillis();
    requests =
        follower(Topic.REQUESTS, newRequestListener(), wait, settings.followerReadIntervalMillis());
    progress =
        follower(
            Topic.PROGRESS,
            new ProgressListener(),
            settings.progressWaitMillis(),
            settings.progressReadIntervalMillis());
    configurations =
        follower(
            Topic.CONFIGURATION,
            operatorRecords,
            settings.heartbeatWaitMillis(),
            settings.plannerReadIntervalMillis());
    workerListing = new WorkerListing(decoder, () -> dispatcher);
    workers = follower(Topic.WORKERS, workerListing, wait, settings.plannerReadIntervalMillis());
    role = new PlannerRole(settings, log, control, time, events);
    jobRequests = newJobRequests();
    explainer =
        new JobExplainer(
            settings.vm(),
            time,
            ports.placer(),
            entries,
            () -> dispatcher,
            role::planner,
            operatorRecords,
            workerListing,
            jobRequests::decide);
  }

  private RequestListener newRequestListener() {
    return new RequestListener(
        entries,
        writer,
        earlyCancellations,
        events,
        this::isPlanning,
        new RequestListener.Callbacks(this::onSubmission, this::onCancel, this::restoreSubmission));
  }

  private JobRequests newJobRequests() {
    return new JobRequests(
        entries,
        writer,
        new JobSearch(requests, progress, entries, this::isPlanning),
        settings.dispatch().policy().has(Feature.ADMISSION) ? new RefuseUseless() : new AcceptAll(),
        loadHistory,
        new JobRequests.Callbacks(this::onSubmission, this::onCancel),
        new JobRequests.VmState(
            this::isLogUnreachable,
            this::configuration,
            requests::deliveredOffset,
            earlyCancellations::hasRoom),
        control,
        time,
        events,
        settings.requestTimeoutMillis());
  }

  private TopicFollower follower(
      Topic topic, TopicFollower.Listener listener, long waitMillis, long readIntervalMillis) {
    return new TopicFollower(
        topic, log, control, time, events, listener, waitMillis, readIntervalMillis);
  }

  /** Starts following the log. Control thread. */
  public void start() {
    requests.start();
    progress.start();
    configurations.start();
    step();
  }

  /** Resigns the planner role if held, and never claims it again. Control thread. */
  public void leave() {
    leaving = true;
    if (dispatcher != null) {
      Term term = dispatcher.term();
      dispatcher.close();
      dispatcher = null;
      workers.stop();
      role.resign(term);
    }
  }

  /** Does all work that is due. Control thread. */
  public void step() {
    requests.step();
    progress.step();
    configurations.step();
    workers.step();
    writer.step();
    rejectingRequests = writer.isRejecting();
    lastLogReplyMillis =
        Math.max(
            configurations.lastReplyMillis(),
            Math.max(requests.lastReplyMillis(), progress.lastReplyMillis()));
    currentAsOfMillis =
        dispatcher == null
            ? Math.min(requests.currentAsOfMillis(), progress.currentAsOfMillis())
            : requests.currentAsOfMillis();
    if (dispatcher != null) {
      lastLogReplyMillis = Math.max(lastLogReplyMillis, dispatcher.confirmedMillis());
      dispatcher.setWorkersCurrentAsOf(workers.currentAsOfMillis());
      dispatcher.setClosures(operatorRecords.closures(configurations.currentAsOfMillis()));
      dispatcher.tick();
      if (requests.isLoaded()) {
        earlyCancellations.removeExpired(requests.nextOffset());
      }
    } else if (canPlan() && progress.isLoaded()) {
      role.claimIfVacant(progress.nextOffset(), this::onElected);
    }
  }

  private boolean canPlan() {
    return !leaving && configuration() != null && requests.isLoaded();
  }

  /** Returns whether the VM can serve callers' requests. Any thread. */
  public boolean isReady() {
    return !leaving
        && configuration() != null
        && !rejectingRequests
        && currentAsOfMillis != NEVER
        && !isLogUnreachable();
  }

  /** Returns whether this VM has had no reply of the log within the log timeout. Any thread. */
  public boolean isLogUnreachable() {
    long lastReply = lastLogReplyMillis;
    return lastReply == NEVER || time.steadyMillis() - lastReply > settings.logTimeoutMillis();
  }

  /** Returns the configuration in force, null before the first. Any thread. */
  public Configuration configuration() {
    return operatorRecords.configuration();
  }

  /** Returns whether this VM plans. Any thread; the result may be stale. */
  public boolean isPlanning() {
    return dispatcher != null;
  }

  /**
   * Submits a job. Any thread.
   *
   * @param submission the job
   * @param waitMillis longest time that the caller waits
   * @return a future of the result
   */
  public CompletableFuture<SubmitResult> submit(Submission submission, long waitMillis) {
    return jobRequests.submit(submission, waitMillis);
  }

  /**
   * Cancels a job. Any thread.
   *
   * @param id the job
   * @param waitMillis longest time that the caller waits
   * @return a future of the outcome
   */
  public CompletableFuture<RequestOutcome> cancel(JobId id, long waitMillis) {
    return jobRequests.cancel(id, waitMillis);
  }

  /**
   * Looks up a job, in the log if this VM may not know its latest phase. Any thread.
   *
   * @param id the job
   * @return a future of DONE if the job exists and its phase is up to date, NO_SUCH_JOB if there is
   *     no such job, or NOT_DONE if the log cannot be read
   */
  public CompletableFuture<RequestOutcome> find(JobId id) {
    return jobRequests.find(id);
  }

  /**
   * Returns the phase of a job as this VM knows it, which may lag behind the log. Any thread.
   *
   * @param id the job
   * @return the phase, or empty if the job is not known here
   */
  public Optional<JobPhase> phase(JobId id) {
    return jobRequests.phase(id);
  }

  /**
   * Counts the pending jobs of a queue that this VM knows. Any thread.
   *
   * @param queue name of the queue
   * @return the number of jobs of which no task has started
   */
  public long pendingJobCount(String queue) {
    return jobRequests.pendingJobCount(queue);
  }

  private JobEntry entry(JobId id) {
    return entries.computeIfAbsent(id, key -> new JobEntry());
  }

  private void onSubmission(Submission submission) {
    JobEntry entry = entry(submission.id());
    if (!entry.trySetSubmission(submission)) {
      return;
    }
    earlyCancellations.remove(submission.id());
    if (dispatcher != null) {
      addToDispatcher(entry);
    }
  }

  private void onCancel(JobId id) {
    entry(id).markCancelled();
    if (dispatcher != null) {
      dispatcher.cancel(id);
    }
  }

  private void addToDispatcher(JobEntry entry) {
    Submission submission = entry.submission();
    try {
      Job job =
          entry.progress() == null
              ? new Job(submission)
              : ProgressCodec.read(submission, entry.progress());
      dispatcher.add(job);
      if (entry.isCancelled()) {
        dispatcher.cancel(submission.id());
      }
    } catch (RecordFormatException e) {
      events.warn("progress-unreadable", "job", submission.id(), "reason", e.getMessage());
    }
  }

  /** Stores an accepted submission again whose record an invalid one of the same job replaced. */
  private void restoreSubmission(JobId id) {
    writer.store(
        RequestCodec.writeSubmission(
            new PreparedSubmission(entries.get(id).submission(), requests.deliveredOffset())),
        offset -> RequestOutcome.DONE,
        time.steadyMillis() + settings.requestTimeoutMillis(),
        new CompletableFuture<>());
  }

  private void onConfiguration(Configuration latest) {
    Set<String> queuesInUse = queuesInUse();
    queueServices.configure(latest, queue -> !requests.isLoaded() || queuesInUse.contains(queue));
    if (dispatcher != null) {
      dispatcher.configure(latest);
    }
  }

  private Set<String> queuesInUse() {
    return entries.values().stream()
        .filter(entry -> entry.submission() != null && !entry.visiblePhase().isEnded())
        .map(entry -> entry.submission().queue())
        .collect(Collectors.toSet());
  }

  /** Handles the progress of jobs and the planner's claims read from the log. */
  private final class ProgressListener implements TopicFollower.Listener {
    @Override
    public void onRecord(KeyedRecord record) {
      storedWorkers.onRecord(record, time.steadyMillis());
      if (record.value() == null) {
        return;
      }
      if (record.key().equals(Term.KEY)) {
        Term.read(record.value()).ifPresent(claim -> role.onClaim(claim, record.offset()));
        return;
      }
      role.onHeartbeat();
      if (record.key().equals(Term.SETTLED_KEY)) {
        Term.readSettled(record.value()).ifPresent(role::onSettled);
      }
      if (record.key().equals(QueueServices.KEY)) {
        addQueueServices(record);
      }
      if (record.key().equals(LoadSummary.KEY)) {
        LoadSummary.read(record.value())
            .ifPresent(summary -> loadHistory.add(summary, time.steadyMillis()));
      }
      if (dispatcher != null || !JobId.isValid(record.key())) {
        return;
      }
      JobEntry entry = entry(new JobId(record.key()));
      entry.setProgress(record.value());
      try {
        entry.updatePhase(ProgressCodec.readPhase(record.value()));
      } catch (RecordFormatException e) {
        events.warn("progress-unreadable", "job", record.key(), "reason", e.getMessage());
      }
    }

    private void addQueueServices(KeyedRecord record) {
      try {
        queueServices.addStored(record.value());
      } catch (IOException e) {
        events.warn("queue-services-unreadable", "reason", e.getMessage());
      }
    }

    @Override
    public void onRead(boolean empty, long sentMillis, long endOffset) {
      if (dispatcher == null && canPlan()) {
        role.claimIfTimedOut(
            empty, sentMillis, endOffset, progress.nextOffset(), SchedulerVm.this::onElected);
      }
    }
  }

  private void onElected(Election election) {
    progress.stop();
    requests.catchUp(
        () -> takeOver(election),
        () -> {
          events.warn("planner-start-failed", "epoch", election.term().epoch());
          progress.start();
        });
  }

  private void takeOver(Election election) {
    Term term = election.term();
    if (leaving) {
      role.resign(term);
      progress.start();
      return;
    }
    dispatcher =
        new Dispatcher(
            term,
            settings.dispatch(),
            ports,
            new Inheritance(
                storedWorkers.records(),
                election.claimedMillis(),
                election.grantsEnd(),
                queueServices),
            new DispatcherListener(term));
    events.info(
        "planner-started",
        "epoch",
        term.epoch(),
        "jobs",
        entries.size(),
        "grantsEndInMillis",
        Math.max(0, election.grantsEnd().millis() - time.steadyMillis()));
    dispatcher.configure(configuration());
    dispatcher.setClosures(operatorRecords.closures(configurations.currentAsOfMillis()));
    for (JobEntry entry : entries.values()) {
      if (entry.submission() != null) {
        addToDispatcher(entry);
      }
    }
    workerListing.clear();
    workers.start();
    requests.setReadIntervalMillis(settings.plannerReadIntervalMillis());
    step();
  }

  /** Handles what a term of this VM brings about. */
  private final class DispatcherListener implements Dispatcher.Listener {
    private final Term term;

    DispatcherListener(Term term) {
      this.term = term;
    }

    @Override
    public void onPhaseStored(JobId id, JobPhase phase) {
      entry(id).updatePhase(phase);
    }

    @Override
    public void onLoadMeasured(LoadSummary summary) {
      loadHistory.add(summary, time.steadyMillis());
    }

    @Override
    public void onSuperseded(String evidence) {
      control.execute(() -> stepDown(term, evidence));
    }
  }

  private void stepDown(Term term, String evidence) {
    if (dispatcher == null || dispatcher.term().epoch() != term.epoch()) {
      return;
    }
    events.warn("planner-superseded", "epoch", term.epoch(), "evidence", evidence);
    dispatcher.close();
    dispatcher = null;
    workers.stop();
    requests.setReadIntervalMillis(settings.followerReadIntervalMillis());
    role.onStepDown();
    progress.start();
  }

  /** Returns the explainer of placements. Control thread. */
  public JobExplainer explainer() {
    return explainer;
  }

  /** Returns a one-line summary of this VM's state, for the dump. Control thread. */
  public String describe() {
    Dispatcher current = dispatcher;
    return ("vm=%s planning=%s jobs=%d open=%d workers=%s backlog=%d configuration=%d closed=%s"
            + " earlyCancellations=%d")
        .formatted(
            settings.vm(),
            current != null,
            entries.size(),
            current == null ? -1 : current.openJobCount(),
            current == null ? "-1" : current.describeWorkers(),
            current == null ? -1 : current.journalBacklog(),
            configuration() == null ? -1 : configuration().version(),
            operatorRecords.closures(configurations.currentAsOfMillis()).dataCentres(),
            earlyCancellations.size());
  }
}
