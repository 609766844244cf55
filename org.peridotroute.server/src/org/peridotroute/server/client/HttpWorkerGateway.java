package org.peridotroute.server.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.peridotroute.control.TaskCommand;
import org.peridotroute.control.TaskReport;
import org.peridotroute.control.WorkerGateway;
import org.peridotroute.errors.WorkerUnreachableException;
import org.peridotroute.http.HttpCaller;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.Json;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.platform.CommandBatch;
import org.peridotroute.platform.ReportBatch;

/**
 * Workers over HTTP. Commands to one worker that are sent between two flushes travel in one call,
 * so that the cost of control grows with workers and not with tasks. Safe for use by several
 * threads.
 */
public final class HttpWorkerGateway implements WorkerGateway {
  private static final int MAX_COMMANDS_PER_CALL = 64;

  private final HttpCaller caller;
  private final Supplier<Directory> directory;
  private final long timeoutMillis;
  private final Map<WorkerId, String> urls = new HashMap<>();
  private Directory urlsOf;
  private Map<WorkerId, List<Waiting>> batches = new LinkedHashMap<>();

  /** A command that waits for the next flush. */
  private record Waiting(TaskCommand command, CompletableFuture<TaskReport> report) {}

  /**
   * Creates a gateway.
   *
   * @param caller the HTTP client
   * @param directory where workers are looked up
   * @param timeoutMillis the longest wait for an answer
   */
  public HttpWorkerGateway(HttpCaller caller, Supplier<Directory> directory, long timeoutMillis) {
    this.caller = caller;
    this.directory = directory;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public synchronized CompletableFuture<TaskReport> send(WorkerId worker, TaskCommand command) {
    Waiting waiting = new Waiting(command, new CompletableFuture<>());
    batches.computeIfAbsent(worker, id -> new ArrayList<>()).add(waiting);
    return waiting.report();
  }

  /** Sends what waits. */
  public void flush() {
    Map<WorkerId, List<Waiting>> flushed;
    synchronized (this) {
      flushed = batches;
      batches = new LinkedHashMap<>();
    }
    flushed.forEach(this::send);
  }

  private void send(WorkerId worker, List<Waiting> batch) {
    Optional<String> url = url(worker);
    if (url.isEmpty()) {
      fail(batch, new WorkerUnreachableException(worker.value(), "it is not on the list"));
      return;
    }
    for (int from = 0; from < batch.size(); from += MAX_COMMANDS_PER_CALL) {
      int to = Math.min(from + MAX_COMMANDS_PER_CALL, batch.size());
      call(worker, url.get(), batch.subList(from, to));
    }
  }

  @SuppressWarnings("ReferenceEquality")
  private synchronized Optional<String> url(WorkerId worker) {
    Directory latest = directory.get();
    if (latest != urlsOf) {
      urlsOf = latest;
      urls.clear();
      latest.workers().forEach(info -> urls.put(info.id(), info.url()));
    }
    return Optional.ofNullable(urls.get(worker));
  }

  private void call(WorkerId worker, String url, List<Waiting> batch) {
    CommandBatch commands = CommandBatch.of(batch.stream().map(Waiting::command).toList());
    var unused =
        caller
            .call("POST", url + "/v1/tasks", Json.write(commands), timeoutMillis)
            .whenComplete(
                (reply, failure) -> {
                  if (failure == null) {
                    deliver(worker, reply, batch);
                  } else {
                    String reason = failure.getMessage();
                    fail(batch, new WorkerUnreachableException(worker.value(), reason));
                  }
                });
  }

  private static void deliver(WorkerId worker, HttpReply reply, List<Waiting> batch) {
    try {
      List<TaskReport> reports =
          reply.isOk() ? Json.read(reply.body(), ReportBatch.class).reports() : List.of();
      for (Waiting waiting : batch) {
        deliver(worker, reply, reports, waiting);
      }
    } catch (JsonProcessingException e) {
      fail(batch, new WorkerUnreachableException(worker.value(), e.getOriginalMessage()));
    }
  }

  private static void deliver(
      WorkerId worker, HttpReply reply, List<TaskReport> reports, Waiting waiting) {
    Optional<TaskReport> own =
        reports.stream().filter(report -> report.isReplyTo(waiting.command())).findFirst();
    if (own.isPresent()) {
      waiting.report().complete(own.get());
    } else {
      String reason = "status " + reply.status() + " without a report on the task";
      fail(List.of(waiting), new WorkerUnreachableException(worker.value(), reason));
    }
  }

  private static void fail(List<Waiting> batch, WorkerUnreachableException failure) {
    batch.forEach(waiting -> waiting.report().completeExceptionally(failure));
  }
}
