package org.peridotroute.server.api;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobState;
import org.peridotroute.fold.Outcome;
import org.peridotroute.fold.Verdict;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.HttpRequest;
import org.peridotroute.http.HttpServer;
import org.peridotroute.http.Json;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.Answer;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.OrganisationId;
import org.peridotroute.policy.FreeAccelerators;
import org.peridotroute.policy.Guarantees;
import org.peridotroute.server.service.ChangeHistory;
import org.peridotroute.server.service.FoldedState;
import org.peridotroute.server.view.AnswerView;
import org.peridotroute.server.view.JobView;
import org.peridotroute.server.view.Page;

/** HTTP resource of jobs: put, get, list, cancel, answer, watch. Thread-safe. */
public final class JobResource {
  private static final String JOB = "/v1/organisations/{organisation}/jobs/{job}";
  private static final int MAX_PAGE = 500;
  private static final long MAX_WAIT_MILLIS = 30_000;

  private final FoldedState state;
  private final Supplier<Directory> directory;
  private final Committer committer;

  /**
   * Creates the resource.
   *
   * @param state state folded from the log
   * @param directory supplies the current directory of VMs and workers
   * @param committer commits changes to the journal
   */
  public JobResource(FoldedState state, Supplier<Directory> directory, Committer committer) {
    this.state = state;
    this.directory = directory;
    this.committer = committer;
  }

  /**
   * Registers the routes of this resource.
   *
   * @param http builder of the HTTP server
   */
  public void addTo(HttpServer.Builder http) {
    http.route("PUT", JOB, this::put)
        .route("GET", JOB, request -> HttpReply.ok(view(find(request))))
        .route("DELETE", JOB, this::cancel)
        .route("GET", JOB + "/answer", this::answer)
        .route("GET", "/v1/jobs", this::list)
        .route("GET", "/v1/watch/jobs", this::watch);
  }

  private HttpReply put(HttpRequest request) throws Exception {
    JobKey key = Parameters.job(request);
    JobSpec spec = Json.read(request.body(), JobSpec.class);
    committer.requireReady();
    Job existing = state.jobs().jobs().get(key);
    if (existing == null) {
      checkFeasible(key, spec);
    }
    Verdict verdict = committer.commit(new LogRecord.JobSubmitted(key, spec, request.id()));
    return switch (verdict) {
      case ACCEPTED -> new HttpReply(HttpReply.CREATED, Json.write(view(find(request))));
      case SAME_JOB -> HttpReply.ok(view(find(request)));
      case NAME_TAKEN ->
          throw new ApiException(ErrorCode.NAME_TAKEN, "job " + key + " exists with another spec");
      case FULL -> throw new ApiException(ErrorCode.OVERLOADED, "too many jobs are waiting");
      default ->
          throw new IllegalStateException("unexpected verdict on a submitted job: " + verdict);
    };
  }

  /**
   * Rejects a job that could never run: its organisation is not declared, its shape does not fit
   * even if every accelerator is free, or it is not idempotent and no guarantee holds its shape.
   */
  private void checkFeasible(JobKey key, JobSpec spec) throws ApiException {
    ConfigState.DeclaredOrganisation owner = state.config().organisations().get(key.organisation());
    if (owner == null) {
      throw new ApiException(
          ErrorCode.UNKNOWN_ORGANISATION,
          "organisation " + key.organisation() + " is not declared");
    }
    if (FreeAccelerators.allOf(directory.get().workers()).findBestFit(spec.shape()).isEmpty()) {
      throw new ApiException(
          ErrorCode.IMPOSSIBLE_SHAPE,
          "no "
              + spec.shape().adjacency().name().toLowerCase(Locale.ROOT)
              + " can hold shape "
              + spec.shape()
              + ", even when empty; the job was not run");
    }
    boolean guaranteed =
        owner.organisation().guarantees().stream()
            .anyMatch(guarantee -> Guarantees.canHold(guarantee.shape(), spec.shape()));
    if (!spec.idempotent() && !guaranteed) {
      throw new ApiException(
          ErrorCode.NO_GUARANTEE,
          "job "
              + key
              + " is not idempotent, so it runs only inside a guarantee, and none of "
              + key.organisation()
              + " holds shape "
              + spec.shape());
    }
  }

  private HttpReply cancel(HttpRequest request) throws ApiException {
    JobKey key = Parameters.job(request);
    Verdict verdict = committer.commit(new LogRecord.CancelRequested(key, request.id()));
    return switch (verdict) {
      case ACCEPTED -> HttpReply.ok(view(find(request)));
      case NOT_FOUND -> throw unknown(key);
      default ->
          throw new ApiException(
              ErrorCode.ALREADY_ENDED, "job " + key + " has ended or is being cancelled");
    };
  }

  private HttpReply answer(HttpRequest request) throws ApiException {
    Job job = find(request);
    if (job.outcome() != Outcome.SUCCEEDED) {
      String status = job.isEnded() ? job.outcome().name() : job.phase().name();
      throw new ApiException(
          ErrorCode.NO_ANSWER,
          "job " + job.key() + " has no answer; it is " + status.toLowerCase(Locale.ROOT));
    }
    Answer answer = job.answer();
    int bytes = answer.body().getBytes(StandardCharsets.UTF_8).length;
    return HttpReply.ok(new AnswerView(answer.body(), bytes, answer.sha256()));
  }

  private HttpReply list(HttpRequest request) {
    JobState jobs = state.jobs();
    String after = request.parameter("after");
    OrganisationId owner =
        request.parameter("organisation") == null ? null : Parameters.organisation(request);
    int limit = (int) Parameters.number(request, "limit", MAX_PAGE, MAX_PAGE);
    List<JobView> views =
        jobs.jobs().values().stream()
            .filter(job -> owner == null || job.key().organisation().equals(owner))
            .filter(job -> after == null || job.key().toString().compareTo(after) > 0)
            .limit(limit + 1L)
            .map(job -> JobView.of(job, jobs))
            .toList();
    boolean hasMore = views.size() > limit;
    List<JobView> page = hasMore ? views.subList(0, limit) : views;
    String next = hasMore ? qualifiedName(page.get(limit - 1)) : null;
    return HttpReply.ok(new Page<>(page, jobs.offset(), next));
  }

  private static String qualifiedName(JobView view) {
    return view.organisation() + "/" + view.name();
  }

  private HttpReply watch(HttpRequest request) throws ApiException {
    long currentRevision = state.jobs().offset();
    long from = Parameters.number(request, "from", currentRevision, Long.MAX_VALUE);
    long waitMillis = Parameters.number(request, "waitMillis", MAX_WAIT_MILLIS, MAX_WAIT_MILLIS);
    ChangeHistory.Page<JobView> page = state.jobHistory().after(from, waitMillis);
    return WatchReply.of(page, from);
  }

  private Job find(HttpRequest request) throws ApiException {
    JobKey key = Parameters.job(request);
    return state.jobs().job(key).orElseThrow(() -> unknown(key));
  }

  private static ApiException unknown(JobKey key) {
    return new ApiException(ErrorCode.UNKNOWN_JOB, "there is no job " + key);
  }

  private JobView view(Job job) {
    return JobView.of(job, state.jobs());
  }
}
