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
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.Json;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.platform.CommandBatch;
import org.peridotroute.platform.ReportBatch;

/**
 * Sends commands to workers over HTTP. Commands for the same worker that are queued between two
 * flushes are batched into one call, so that the number of calls grows with the number of workers
 * and not of tasks. Thread-safe.
 */
public final class HttpWorkerGateway implements WorkerGateway {
  private static final int MAX_COMMANDS_PER_CALL = 64;

  private final HttpClient caller;
  private final Supplier<Directory> directory;
  private final long timeoutMillis;
  private final Map<WorkerId, String> urls = new HashMap<>();

  /** Directory from which {@link #urls} was built; compared by identity. */
  private Directory urlsDirectory;

  private Map<WorkerId, List<PendingCommand>> batches = new LinkedHashMap<>();

  /** A command queued for the next flush, with the future of its report. */
  private record PendingCommand(TaskCommand command, CompletableFuture<TaskReport> report) {}

  /**
   * Creates a gateway.
   *
   * @param caller the HTTP client
   * @param directory supplies the directory with the workers' URLs
   * @param timeoutMillis timeout of a call
   */
  public HttpWorkerGateway(HttpClient caller, Supplier<Directory> directory, long timeoutMillis) {
    this.caller = caller;
    this.directory = directory;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public synchronized CompletableFuture<TaskReport> send(WorkerId worker, TaskCommand command) {
    PendingCommand pending = new PendingCommand(command, new CompletableFuture<>());
    batches.computeIfAbsent(worker, id -> new ArrayList<>()).add(pending);
    return pending.report();
  }

  /** Sends all queued commands, at most {@value #MAX_COMMANDS_PER_CALL} in one call. */
  public void flush() {
    Map<WorkerId, List<PendingCommand>> flushed;
    synchronized (this) {
      flushed = batches;
      batches = new LinkedHashMap<>();
    }
    flushed.forEach(this::sendBatch);
  }

  private void sendBatch(WorkerId worker, List<PendingCommand> batch) {
    Optional<String> url = urlOf(worker);
    if (url.isEmpty()) {
      fail(batch, new WorkerUnreachableException(worker.value(), "it is not in the directory"));
      return;
    }
    for (int from = 0; from < batch.size(); from += MAX_COMMANDS_PER_CALL) {
      int to = Math.min(from + MAX_COMMANDS_PER_CALL, batch.size());
      call(worker, url.get(), batch.subList(from, to));
    }
  }

  @SuppressWarnings("ReferenceEquality")
  private synchronized Optional<String> urlOf(WorkerId worker) {
    Directory latest = directory.get();
    if (latest != urlsDirectory) {
      urlsDirectory = latest;
      urls.clear();
      latest.workers().forEach(info -> urls.put(info.id(), info.url()));
    }
    return Optional.ofNullable(urls.get(worker));
  }

  private void call(WorkerId worker, String url, List<PendingCommand> batch) {
    CommandBatch commands = CommandBatch.of(batch.stream().map(PendingCommand::command).toList());
    var unused =
        caller
            .call("POST", url + "/v1/tasks", Json.write(commands), timeoutMillis)
            .whenComplete(
                (reply, failure) -> {
                  if (failure == null) {
                    completeReports(worker, reply, batch);
                  } else {
                    String reason = failure.getMessage();
                    fail(batch, new WorkerUnreachableException(worker.value(), reason));
                  }
                });
  }

  private static void completeReports(
      WorkerId worker, HttpReply reply, List<PendingCommand> batch) {
    try {
      List<TaskReport> reports =
          reply.isOk() ? Json.read(reply.body(), ReportBatch.class).reports() : List.of();
      for (PendingCommand pending : batch) {
        completeReport(worker, reply, reports, pending);
      }
    } catch (JsonProcessingException e) {
      fail(batch, new WorkerUnreachableException(worker.value(), e.getOriginalMessage()));
    }
  }

  private static void completeReport(
      WorkerId worker, HttpReply reply, List<TaskReport> reports, PendingCommand pending) {
    Optional<TaskReport> matchingReport =
        reports.stream().filter(report -> report.isReplyTo(pending.command())).findFirst();
    if (matchingReport.isPresent()) {
      pending.report().complete(matchingReport.get());
    } else {
      String reason = "status " + reply.status() + " without a report for the task";
      fail(List.of(pending), new WorkerUnreachableException(worker.value(), reason));
    }
  }

  private static void fail(List<PendingCommand> batch, WorkerUnreachableException failure) {
    batch.forEach(pending -> pending.report().completeExceptionally(failure));
  }
}
