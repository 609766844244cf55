package org.peridotroute.server.edge;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.Supplier;
import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.http.AsyncHandler;
import org.peridotroute.http.HttpBytesReply.Outgoing;
import org.peridotroute.http.Json;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.ProposedJob;
import org.peridotroute.scheduler.node.JobExplainer;
import org.peridotroute.scheduler.node.JobExplanation;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.table.RequestCodec;

/**
 * Answers where a job would go now: {@code GET /explain?job=ID} for an accepted job, {@code POST
 * /explain} with a job file for one that has not been submitted. Thread-safe.
 */
final class ExplainHandler implements AsyncHandler {
  /** Path that the handler serves. */
  static final String PATH = "/explain";

  private static final String JOB_PARAMETER = "job=";
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;

  /** The request was directed at a VM that cannot answer it. */
  private static final int MISDIRECTED = 421;

  private static final int INTERNAL_SERVER_ERROR = 500;

  private static final int TOO_MANY_REQUESTS = 429;

  private static final String TOO_MANY_TEXT =
      "{\"message\":\"explanations are asked for too often; repeat after a second\"}";

  /**
   * Shortest time between two answers, as a multiple of the duration of the first, so that they
   * take at most a fifth of the control thread's time from the planner.
   */
  private static final long INTERVAL_FACTOR = 4;

  private final Supplier<JobExplainer> explainer;
  private final Executor control;
  private final Time time;

  /** Confined to the control thread. */
  private long nextAnswerMillis = Long.MIN_VALUE;

  /**
   * Creates the handler.
   *
   * @param explainer returns the explainer; called on the control thread
   * @param control executor of the control thread
   * @param time clocks
   */
  ExplainHandler(Supplier<JobExplainer> explainer, Executor control, Time time) {
    this.time = time;
    this.explainer = explainer;
    this.control = control;
  }

  @Override
  public CompletableFuture<Outgoing> handle(Incoming request) {
    return switch (request.method()) {
      case "GET" -> explainAccepted(request.query());
      case "POST" -> explainProposed(request.body());
      default -> completed(METHOD_NOT_ALLOWED, "use GET or POST");
    };
  }

  private CompletableFuture<Outgoing> explainAccepted(String query) {
    String id = query.startsWith(JOB_PARAMETER) ? query.substring(JOB_PARAMETER.length()) : "";
    return JobId.isValid(id)
        ? onControl(current -> current.explain(new JobId(id)))
        : completed(BAD_REQUEST, "expected /explain?job=ID with an id of 16 hexadecimal digits");
  }

  private CompletableFuture<Outgoing> explainProposed(byte[] body) {
    ProposedJob job;
    try {
      job = RequestCodec.readProposedJob(body);
    } catch (IOException | InvalidValueException e) {
      return completed(BAD_REQUEST, "the job file is not valid: " + describe(e));
    }
    return onControl(current -> current.explain(job));
  }

  private static String describe(Exception e) {
    if (e.getCause() instanceof InvalidValueException invalid) {
      return invalid.getMessage();
    }
    return e instanceof JsonProcessingException json ? Json.describe(json) : e.getMessage();
  }

  private CompletableFuture<Outgoing> onControl(Function<JobExplainer, JobExplanation> question) {
    CompletableFuture<Outgoing> response = new CompletableFuture<>();
    control.execute(() -> response.complete(answer(question)));
    return response;
  }

  /**
   * Explains a job. A failure is answered, not thrown: an exception on the control thread would end
   * the process, and no question of an operator may do that.
   */
  private Outgoing answer(Function<JobExplainer, JobExplanation> question) {
    long startMillis = time.steadyMillis();
    if (startMillis < nextAnswerMillis) {
      return new Outgoing(TOO_MANY_REQUESTS, Map.of("Retry-After", "1"), TOO_MANY_TEXT);
    }
    try {
      return toResponse(question.apply(explainer.get()));
    } catch (RuntimeException e) {
      return error(INTERNAL_SERVER_ERROR, "the explanation failed: " + e, null);
    } finally {
      long endMillis = time.steadyMillis();
      nextAnswerMillis = endMillis + INTERVAL_FACTOR * (endMillis - startMillis);
    }
  }

  private static Outgoing toResponse(JobExplanation explanation) {
    if (explanation instanceof JobExplanation.Explained explained) {
      return new Outgoing(OK, Map.of(), Json.write(ExplanationView.of(explained)));
    }
    if (explanation instanceof JobExplanation.Refused refused) {
      return error(BAD_REQUEST, refused.reason(), null);
    }
    if (explanation instanceof JobExplanation.NotPlanning other) {
      return error(
          MISDIRECTED,
          other.planner() == null
              ? "this VM does not plan and knows no VM that does"
              : "this VM does not plan; ask " + other.planner(),
          other.planner());
    }
    return error(NOT_FOUND, "the planner knows no such job", null);
  }

  private static CompletableFuture<Outgoing> completed(int status, String message) {
    return CompletableFuture.completedFuture(error(status, message, null));
  }

  private static Outgoing error(int status, String message, String planner) {
    Map<String, String> body = new TreeMap<>();
    body.put("message", message);
    if (planner != null) {
      body.put("planner", planner);
    }
    return new Outgoing(status, Map.of(), Json.write(body));
  }
}
