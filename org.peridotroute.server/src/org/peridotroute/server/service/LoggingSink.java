package org.peridotroute.server.service;

import java.util.concurrent.CompletableFuture;
import org.peridotroute.control.RecordSink;
import org.peridotroute.fold.Verdict;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.VmId;

/**
 * Logs the outcome of each record that this process proposes.
 *
 * @param vm this VM
 * @param sink the sink that accepts the records
 */
public record LoggingSink(VmId vm, RecordSink sink) implements RecordSink {
  private static final System.Logger LOGGER = System.getLogger(LoggingSink.class.getName());

  @Override
  public CompletableFuture<Verdict> propose(LogRecord record) {
    return sink.propose(record).whenComplete((verdict, failure) -> log(record, verdict, failure));
  }

  private void log(LogRecord record, Verdict verdict, Throwable failure) {
    boolean routine = record instanceof LogRecord.PlannerRenewed && failure == null;
    System.Logger.Level level = routine ? System.Logger.Level.DEBUG : System.Logger.Level.INFO;
    if (!LOGGER.isLoggable(level)) {
      return;
    }
    Event event =
        Event.of("record-decided")
            .with("vm", vm)
            .with("record", record.getClass().getSimpleName())
            .with("job", FoldService.jobOf(record).orElse(null))
            .with("verdict", verdict)
            .with("failure", failure == null ? null : failure.getMessage());
    if (record instanceof LogRecord.JobSubmitted submitted) {
      event.with("request", submitted.requestId());
    }
    if (record instanceof LogRecord.CancelRequested cancel) {
      event.with("request", cancel.requestId());
    }
    if (record instanceof LogRecord.Placed placed) {
      event.with("attempt", placed.attempt());
    }
    if (record instanceof LogRecord.Started started) {
      event.with("token", started.token());
    }
    if (record instanceof LogRecord.AttemptEnded ended) {
      event.with("token", ended.token()).with("end", ended.end()).with("reason", ended.reason());
    }
    event.log(LOGGER, level);
  }
}
