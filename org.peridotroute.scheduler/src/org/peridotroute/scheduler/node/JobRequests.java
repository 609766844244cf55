package org.peridotroute.scheduler.node;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.peridotroute.scheduler.load.AdmissionPolicy;
import org.peridotroute.scheduler.load.LoadHistory;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.table.PreparedSubmission;
import org.peridotroute.scheduler.table.RequestCodec;

/**
 * Requests of callers on one VM: submits, cancels and looks up jobs. The public methods of {@link
 * SchedulerVm} describe them. Thread-safe.
 */
final class JobRequests {
  /** Callbacks to the VM on the control thread. */
  record Callbacks(Consumer<Submission> onSubmitted, Consumer<JobId> onCancelled) {}

  /**
   * What this VM knows of its state.
   *
   * @param logUnreachable whether the log is out of reach; read by any thread
   * @param configuration the configuration in force; read by any thread
   * @param readOffset offset up to which the VM has read the requests; control thread
   * @param mayCancelUnknown whether a cancellation of an unknown job can be kept; any thread
   */
  record VmState(
      BooleanSupplier logUnreachable,
      Supplier<Configuration> configuration,
      LongSupplier readOffset,
      BooleanSupplier mayCancelUnknown) {}

  private final Map<JobId, JobEntry> entries;
  private final RequestWriter writer;
  private final JobSearch search;
  private final AdmissionPolicy admission;
  private final LoadHistory loadHistory;
  private final Callbacks callbacks;
  private final VmState state;
  private final Executor control;
  private final Time time;
  private final Events events;
  private final long requestTimeoutMillis;

  /** Jobs that this VM has tried to store without an answer. They may be stored at any time. */
  private final Set<JobId> uncertain = ConcurrentHashMap.newKeySet();

  JobRequests(
      Map<JobId, JobEntry> entries,
      RequestWriter writer,
      JobSearch search,
      AdmissionPolicy admission,
      LoadHistory loadHistory,
      Callbacks callbacks,
      VmState state,
      Executor control,
      Time time,
      Events events,
      long requestTimeoutMillis) {
    this.entries = entries;
    this.writer = writer;
    this.search = search;
    this.admission = admission;
    this.loadHistory = loadHistory;
    this.callbacks = callbacks;
    this.state = state;
    this.control = control;
    this.time = time;
    this.events = events;
    this.requestTimeoutMillis = requestTimeoutMillis;
  }

  CompletableFuture<SubmitResult> submit(Submission submission, long waitMillis) {
    if (JobEntry.isKnown(entries, submission.id())) {
      return completed(SubmitResult.of(RequestOutcome.DONE));
    }
    if (state.logUnreachable().getAsBoolean()) {
      return completed(SubmitResult.of(notStored(submission.id())));
    }
    long deadlineMillis = deadlineMillis(waitMillis);
    Optional<AdmissionPolicy.Refusal> refusal = decide(submission);
    if (refusal.isEmpty() || uncertain.contains(submission.id())) {
      return storeSubmission(submission, deadlineMillis);
    }
    return find(submission.id())
        .thenCompose(
            found ->
                switch (found) {
                  case DONE -> completed(SubmitResult.of(RequestOutcome.DONE));
                  case NO_SUCH_JOB -> completed(refuse(submission, refusal.get()));
                  default -> storeSubmission(submission, deadlineMillis);
                });
  }

  /** Returns the refusal that a job would get because of the load now, or empty. */
  Optional<AdmissionPolicy.Refusal> decide(Submission submission) {
    return admission.decide(
        submission,
        state.configuration().get().guaranteedAccelerators(submission.organisation()),
        loadHistory.lasting(submission.queue(), time.steadyMillis()));
  }

  private SubmitResult refuse(Submission submission, AdmissionPolicy.Refusal refusal) {
    events.info(
        "job-refused",
        "job",
        submission.id(),
        "queue",
        submission.queue(),
        "organisation",
        submission.organisation(),
        "epoch",
        refusal.summary().epoch(),
        "loadVersion",
        refusal.summary().version(),
        "ageMillis",
        refusal.ageMillis(),
        "expectedWaitMillis",
        refusal.waitMillis(),
        "usefulWaitMillis",
        refusal.usefulMillis(),
        "retryAfterSeconds",
        refusal.retryAfterSeconds());
    return new SubmitResult(RequestOutcome.REFUSED, refusal.retryAfterSeconds());
  }

  private CompletableFuture<SubmitResult> storeSubmission(
      Submission submission, long deadlineMillis) {
    CompletableFuture<RequestOutcome> result = new CompletableFuture<>();
    control.execute(
        () -> {
          PreparedSubmission prepared =
              new PreparedSubmission(submission, state.readOffset().getAsLong());
          writer.store(
              RequestCodec.writeSubmission(prepared),
              offset -> onStored(prepared, offset),
              deadlineMillis,
              result);
        });
    return result.thenApply(outcome -> SubmitResult.of(resolve(submission.id(), outcome)));
  }

  private RequestOutcome onStored(PreparedSubmission prepared, long offset) {
    if (prepared.isTooLate(offset)) {
      return RequestOutcome.NOT_DONE;
    }
    callbacks.onSubmitted().accept(prepared.submission());
    return RequestOutcome.DONE;
  }

  /** Keeps track of the jobs whose storing is uncertain, and returns the outcome for the caller. */
  private RequestOutcome resolve(JobId id, RequestOutcome outcome) {
    return switch (outcome) {
      case UNKNOWN -> {
        uncertain.add(id);
        yield outcome;
      }
      case DONE -> {
        uncertain.remove(id);
        yield outcome;
      }
      case NOT_DONE -> notStored(id);
      default -> outcome;
    };
  }

  /** Returns the outcome of an attempt that stored nothing. An earlier one may still be stored. */
  private RequestOutcome notStored(JobId id) {
    return uncertain.contains(id) ? RequestOutcome.UNKNOWN : RequestOutcome.NOT_DONE;
  }

  CompletableFuture<RequestOutcome> cancel(JobId id, long waitMillis) {
    long deadlineMillis = deadlineMillis(waitMillis);
    return find(id)
        .thenCompose(
            outcome ->
                switch (outcome) {
                  case DONE -> cancelKnown(id, deadlineMillis);
                  case NO_SUCH_JOB -> cancelUnknown(id, deadlineMillis);
                  default -> completed(outcome);
                });
  }

  private CompletableFuture<RequestOutcome> cancelKnown(JobId id, long deadlineMillis) {
    if (entries.get(id).visiblePhase().isEnded()) {
      return completed(RequestOutcome.DONE);
    }
    return storeCancellation(id, deadlineMillis);
  }

  /**
   * Cancels a job that is not on the log. Its submission may be stored yet, so that only a stored
   * cancellation keeps it from running.
   */
  private CompletableFuture<RequestOutcome> cancelUnknown(JobId id, long deadlineMillis) {
    if (!state.mayCancelUnknown().getAsBoolean()) {
      return completed(RequestOutcome.NOT_DONE);
    }
    return storeCancellation(id, deadlineMillis)
        .thenApply(
            outcome ->
                outcome == RequestOutcome.DONE && !JobEntry.isKnown(entries, id)
                    ? RequestOutcome.NO_SUCH_JOB
                    : outcome);
  }

  private CompletableFuture<RequestOutcome> storeCancellation(JobId id, long deadlineMillis) {
    CompletableFuture<RequestOutcome> result = new CompletableFuture<>();
    control.execute(
        () ->
            writer.store(
                RequestCodec.writeCancellation(id),
                offset -> {
                  callbacks.onCancelled().accept(id);
                  return RequestOutcome.DONE;
                },
                deadlineMillis,
                result));
    return result;
  }

  CompletableFuture<RequestOutcome> find(JobId id) {
    if (JobEntry.isKnown(entries, id) && entries.get(id).visiblePhase().isEnded()) {
      return completed(RequestOutcome.DONE);
    }
    if (state.logUnreachable().getAsBoolean()) {
      return completed(RequestOutcome.NOT_DONE);
    }
    CompletableFuture<RequestOutcome> found = new CompletableFuture<>();
    control.execute(() -> search.find(id, found));
    return found;
  }

  Optional<JobPhase> phase(JobId id) {
    return Optional.ofNullable(entries.get(id)).map(JobEntry::visiblePhase);
  }

  long pendingJobCount(String queue) {
    return entries.values().stream()
        .filter(entry -> entry.visiblePhase() == JobPhase.PENDING)
        .filter(entry -> entry.submission() != null && entry.submission().queue().equals(queue))
        .count();
  }

  private long deadlineMillis(long waitMillis) {
    return time.steadyMillis() + Math.min(waitMillis, requestTimeoutMillis);
  }

  private static <T> CompletableFuture<T> completed(T value) {
    return CompletableFuture.completedFuture(value);
  }
}
