package org.peridotroute.scheduler.node;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.peridotroute.errors.RecordFormatException;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.dispatch.Dispatcher;
import org.peridotroute.scheduler.dispatch.Term;
import org.peridotroute.scheduler.model.Configuration;
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
import org.peridotroute.scheduler.table.ProgressCodec;
import org.peridotroute.scheduler.table.RequestCodec;

/**
 * One VM: accepts, stores, shows, and plans while it holds the role. {@link #step} must be called
 * on the control thread at short intervals and after each batch of answers. Methods that tell so
 * may be called by any thread.
 */
public final class Node {
  private static final String CONFIGURATION_KEY = "config";
  private static final long NEVER = Long.MIN_VALUE;

  /** Decodes what operators and workers write. */
  public interface Decoder {
    /**
     * Reads a configuration.
     *
     * @param value the bytes of its record
     * @return the configuration, or empty if the bytes are none
     */
    Optional<Configuration> configuration(byte[] value);

    /**
     * Reads a worker's description of itself.
     *
     * @param id the worker
     * @param value the bytes of its record
     * @return the description, or empty if the bytes are none
     */
    Optional<WorkerInfo> worker(String id, byte[] value);
  }

  private final NodeSettings settings;
  private final Dispatcher.Ports ports;
  private final KeyedLog log;
  private final Time time;
  private final Events events;
  private final Executor control;
  private final Decoder decoder;
  private final Map<JobId, Entry> entries = new ConcurrentHashMap<>();
  private final Map<WorkerId, WorkerInfo> listed = new ConcurrentHashMap<>();
  private final RequestWriter writer;
  private final TopicFollower requests;
  private final TopicFollower progress;
  private final TopicFollower configurations;
  private final TopicFollower workers;
  private final PlannerRole role;
  private final JobSearch search;
  private volatile Configuration configuration;
  private volatile long currentAsOfMillis = NEVER;
  private volatile long answeredMillis = NEVER;
  private volatile boolean leaving;
  private volatile boolean refusing;
  private volatile Dispatcher dispatcher;

  /**
   * Creates a VM.
   *
   * @param settings what it needs to know
   * @param ports what it works with
   * @param decoder decodes what operators and workers write
   */
  public Node(NodeSettings settings, Dispatcher.Ports ports, Decoder decoder) {
    this.settings = settings;
    this.ports = ports;
    this.decoder = decoder;
    log = ports.log();
    time = ports.time();
    events = ports.events();
    control = ports.control();
    writer = new RequestWriter(log, control, time, events);
    long wait = settings.followWaitMillis();
    requests = follower(Topic.REQUESTS, new RequestReader(), wait, settings.showGapMillis());
    progress =
        follower(
            Topic.PROGRESS,
            new ProgressReader(),
            settings.signWaitMillis(),
            settings.showGapMillis());
    configurations =
        follower(
            Topic.CONFIGURATION,
            this::onConfiguration,
            settings.signWaitMillis(),
            settings.followGapMillis());
    workers = follower(Topic.WORKERS, new WorkerReader(), wait, settings.followGapMillis());
    role = new PlannerRole(settings, log, control, time, events);
    search = new JobSearch(requests, progress, entries, this::isPlanning);
  }

  private TopicFollower follower(
      Topic topic, TopicFollower.Reader reader, long waitMillis, long gapMillis) {
    return new TopicFollower(topic, log, control, time, events, reader, waitMillis, gapMillis);
  }

  /** Begins to follow the log. Control thread. */
  public void start() {
    requests.start();
    progress.start();
    configurations.start();
    step();
  }

  /** Gives the planner's role up if held, and refuses to take it. Control thread. */
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

  /** Does what is due. Control thread. */
  public void step() {
    requests.step();
    progress.step();
    configurations.step();
    workers.step();
    writer.step();
    refusing = writer.isRefusing();
    answeredMillis =
        Math.max(
            configurations.answeredMillis(),
            Math.max(requests.answeredMillis(), progress.answeredMillis()));
    currentAsOfMillis =
        dispatcher == null
            ? Math.min(requests.currentAsOfMillis(), progress.currentAsOfMillis())
            : requests.currentAsOfMillis();
    if (dispatcher != null) {
      answeredMillis = Math.max(answeredMillis, dispatcher.confirmedMillis());
      dispatcher.tick();
    } else if (mayPlan() && progress.isLoaded()) {
      role.claimIfLeft(progress.nextOffset(), this::elected);
    }
  }

  private boolean mayPlan() {
    return !leaving && configuration != null && requests.isLoaded();
  }

  /** Returns whether the VM can serve. Any thread. */
  public boolean isReady() {
    return !leaving
        && configuration != null
        && !refusing
        && currentAsOfMillis != NEVER
        && !isCutOff();
  }

  /** Returns whether the log has not answered this VM for a while. Any thread. */
  public boolean isCutOff() {
    long answered = answeredMillis;
    return answered == NEVER || time.steadyMillis() - answered > settings.cutOffMillis();
  }

  /** Returns the configuration in force, null before the first. Any thread. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns whether this VM plans. Any thread, as a hint. */
  public boolean isPlanning() {
    return dispatcher != null;
  }

  /**
   * Submits a job. Any thread.
   *
   * @param submission the job
   * @param waitMillis longest time that the caller waits
   * @return completes with the outcome
   */
  public CompletableFuture<RequestOutcome> submit(Submission submission, long waitMillis) {
    Entry known = entries.get(submission.id());
    if (known != null && known.submission() != null) {
      return answer(RequestOutcome.DONE);
    }
    if (isCutOff()) {
      return answer(RequestOutcome.NOT_DONE);
    }
    long deadline = time.steadyMillis() + Math.min(waitMillis, settings.requestMillis());
    return store(RequestCodec.submission(submission), () -> onSubmission(submission), deadline);
  }

  private CompletableFuture<RequestOutcome> store(
      KeyedRecord record, Runnable onStored, long deadlineMillis) {
    CompletableFuture<RequestOutcome> answer = new CompletableFuture<>();
    control.execute(() -> writer.store(record, onStored, deadlineMillis, answer));
    return answer;
  }

  /**
   * Cancels a job. Any thread.
   *
   * @param id the job
   * @param waitMillis longest time that the caller waits
   * @return completes with the outcome
   */
  public CompletableFuture<RequestOutcome> cancel(JobId id, long waitMillis) {
    long deadline = time.steadyMillis() + Math.min(waitMillis, settings.requestMillis());
    return find(id)
        .thenCompose(
            outcome ->
                outcome == RequestOutcome.DONE ? cancelKnown(id, deadline) : answer(outcome));
  }

  private CompletableFuture<RequestOutcome> cancelKnown(JobId id, long deadlineMillis) {
    if (entries.get(id).shown().isEnded()) {
      return answer(RequestOutcome.DONE);
    }
    return store(RequestCodec.cancellation(id), () -> onCancel(id), deadlineMillis);
  }

  private static CompletableFuture<RequestOutcome> answer(RequestOutcome outcome) {
    return CompletableFuture.completedFuture(outcome);
  }

  /**
   * Looks for a job, in the log too if it is not known here. Any thread.
   *
   * @param id the job
   * @return completes with DONE if there is such a job and its phase is known, NO_SUCH_JOB if there
   *     is none, or NOT_DONE if the log does not tell
   */
  public CompletableFuture<RequestOutcome> find(JobId id) {
    Entry known = entries.get(id);
    if (known != null && known.submission() != null && known.shown().isEnded()) {
      return answer(RequestOutcome.DONE);
    }
    if (isCutOff()) {
      return answer(RequestOutcome.NOT_DONE);
    }
    CompletableFuture<RequestOutcome> found = new CompletableFuture<>();
    control.execute(() -> search.find(id, found));
    return found;
  }

  /**
   * Returns the phase of a job. Any thread.
   *
   * @param id the job
   * @return the phase, or empty if the job is not known here
   */
  public Optional<JobPhase> phase(JobId id) {
    return Optional.ofNullable(entries.get(id)).map(Entry::shown);
  }

  /**
   * Counts the jobs of a queue that have not begun. Any thread.
   *
   * @param queue name of the queue
   * @return the number
   */
  public long waiting(String queue) {
    return entries.values().stream()
        .filter(entry -> entry.shown() == JobPhase.PENDING)
        .filter(entry -> entry.submission() != null && entry.submission().queue().equals(queue))
        .count();
  }

  private Entry entry(JobId id) {
    return entries.computeIfAbsent(id, key -> new Entry());
  }

  private void onSubmission(Submission submission) {
    Entry entry = entry(submission.id());
    if (entry.submit(submission) && dispatcher != null) {
      admit(entry);
    }
  }

  private void onCancel(JobId id) {
    entry(id).cancel();
    if (dispatcher != null) {
      dispatcher.cancel(id);
    }
  }

  private void admit(Entry entry) {
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

  private void onConfiguration(KeyedRecord record) {
    if (!record.key().equals(CONFIGURATION_KEY) || record.value() == null) {
      return;
    }
    Optional<Configuration> read = decoder.configuration(record.value());
    if (read.isEmpty()) {
      events.warn("configuration-unreadable", "offset", record.offset());
      return;
    }
    Configuration latest = read.get();
    Configuration present = configuration;
    if (present != null && latest.version() <= present.version()) {
      return;
    }
    configuration = latest;
    events.info(
        "configuration-applied",
        "version",
        latest.version(),
        "offset",
        record.offset(),
        "queues",
        latest.queueCount());
    if (dispatcher != null) {
      dispatcher.configure(latest);
    }
  }

  /** Takes submissions and cancellations in. */
  private final class RequestReader implements TopicFollower.Reader {
    @Override
    public void onRead(boolean empty, long sentMillis, long endOffset) {
      writer.logAnswered(sentMillis);
    }

    @Override
    public void onRecord(KeyedRecord record) {
      if (record.value() == null) {
        return;
      }
      Optional<JobId> cancelled = RequestCodec.cancelled(record);
      if (cancelled.isPresent()) {
        onCancel(cancelled.get());
        return;
      }
      Optional<JobId> submitted = RequestCodec.submitted(record);
      if (submitted.isEmpty() || isKnown(submitted.get())) {
        return;
      }
      try {
        onSubmission(RequestCodec.read(record));
      } catch (RecordFormatException e) {
        events.warn("request-unreadable", "key", record.key(), "reason", e.getMessage());
      }
    }

    private boolean isKnown(JobId id) {
      Entry entry = entries.get(id);
      return entry != null && entry.submission() != null;
    }
  }

  /** Takes the progress of jobs and the planner's claims in. */
  private final class ProgressReader implements TopicFollower.Reader {
    @Override
    public void onRecord(KeyedRecord record) {
      if (record.value() == null) {
        return;
      }
      if (record.key().equals(Term.KEY)) {
        Term.read(record.value()).ifPresent(claim -> role.seen(claim, record.offset()));
        return;
      }
      role.signOfLife();
      if (dispatcher != null || !JobId.isValid(record.key())) {
        return;
      }
      Entry entry = entry(new JobId(record.key()));
      entry.setProgress(record.value());
      try {
        entry.show(ProgressCodec.phase(record.value()));
      } catch (RecordFormatException e) {
        events.warn("progress-unreadable", "job", record.key(), "reason", e.getMessage());
      }
    }

    @Override
    public void onRead(boolean empty, long sentMillis, long endOffset) {
      if (dispatcher == null && mayPlan()) {
        role.claimIfSilent(empty, sentMillis, endOffset, progress.nextOffset(), Node.this::elected);
      }
    }
  }

  private void elected(Term term) {
    progress.stop();
    requests.catchUp(
        () -> takeOver(term),
        () -> {
          events.warn("planner-start-failed", "epoch", term.epoch());
          progress.start();
        });
  }

  private void takeOver(Term term) {
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
            (id, phase) -> entry(id).show(phase),
            evidence -> control.execute(() -> stepDown(term, evidence)));
    events.info("planner-started", "epoch", term.epoch(), "jobs", entries.size());
    dispatcher.configure(configuration);
    for (Entry entry : entries.values()) {
      if (entry.submission() != null) {
        admit(entry);
      }
    }
    listed.clear();
    workers.start();
    requests.setGapMillis(settings.followGapMillis());
    step();
  }

  private void stepDown(Term term, String evidence) {
    if (dispatcher == null || dispatcher.term().epoch() != term.epoch()) {
      return;
    }
    events.warn("planner-superseded", "epoch", term.epoch(), "evidence", evidence);
    dispatcher.close();
    dispatcher = null;
    workers.stop();
    requests.setGapMillis(settings.showGapMillis());
    role.steppedDown();
    progress.start();
  }

  /** Takes workers' descriptions of themselves in. */
  private final class WorkerReader implements TopicFollower.Reader {
    @Override
    public void onRecord(KeyedRecord record) {
      if (dispatcher == null) {
        return;
      }
      if (record.value() == null) {
        drop(record.key());
        return;
      }
      Optional<WorkerInfo> read = decoder.worker(record.key(), record.value());
      if (read.isEmpty()) {
        return;
      }
      WorkerInfo info = read.get();
      if (!info.equals(listed.put(info.id(), info))) {
        dispatcher.onWorkerListed(info);
      }
    }

    @Override
    public void onLoaded(Set<String> keys) {
      listed.keySet().stream()
          .filter(id -> !keys.contains(id.value()))
          .toList()
          .forEach(id -> drop(id.value()));
    }

    private void drop(String key) {
      listed.keySet().stream()
          .filter(id -> id.value().equals(key))
          .toList()
          .forEach(
              id -> {
                listed.remove(id);
                dispatcher.onWorkerUnlisted(id);
              });
    }
  }

  /** Returns what this VM believes, for the dump. Control thread. */
  public String describe() {
    Dispatcher now = dispatcher;
    return "vm=%s planning=%s jobs=%d open=%d workers=%d backlog=%d configuration=%d"
        .formatted(
            settings.vm(),
            now != null,
            entries.size(),
            now == null ? -1 : now.openJobs(),
            now == null ? -1 : now.workers(),
            now == null ? -1 : now.journalBacklog(),
            configuration == null ? -1 : configuration.version());
  }
}
